package lineward.frontend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.DuplexChannel;

/**
 * Channel operations whose result is ignored. Netty releases the file descriptor even if a close fails.
 * Thread-safe.
 */
public final class Channels {
    private Channels() {}

    /** Closes the channel without waiting for completion. */
    public static void close(Channel channel) {
        ChannelFuture unused = channel.close();
    }

    /** Shuts down the output of the channel without waiting for completion. The channel stays open. */
    public static void shutdownOutput(DuplexChannel channel) {
        ChannelFuture unused = channel.shutdownOutput();
    }
}
