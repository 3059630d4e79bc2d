package lineward.frontend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.DuplexChannel;

/**
 * Operations on channels whose result is ignored, because Netty releases the descriptor even if they fail.
 * May be called from any thread.
 */
public final class Channels {
    private Channels() {}

    /** Closes the channel without waiting for it. */
    public static void close(Channel channel) {
        ChannelFuture unused = channel.close();
    }

    /** Closes the sending half of the channel without waiting for it. */
    public static void shutdownOutput(DuplexChannel channel) {
        ChannelFuture unused = channel.shutdownOutput();
    }
}
