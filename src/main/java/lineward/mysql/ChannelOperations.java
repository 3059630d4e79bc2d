package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts writes and closes whose failure needs no handling where they are started: Netty closes a channel
 * whose write fails, and the channel's handler acts on that.
 */
final class ChannelOperations {
    private static final Logger LOG = LoggerFactory.getLogger(ChannelOperations.class);

    private ChannelOperations() {}

    /** Writes and flushes the frame, of which it takes over the reference. */
    static void write(Channel channel, ByteBuf frame) {
        channel.writeAndFlush(frame).addListener(done -> logFailure("write", channel, done.cause()));
    }

    /** Closes the channel; one that is closed stays so. */
    static void close(Channel channel) {
        ChannelFuture closing = channel.close();
        closing.addListener(done -> logFailure("close", channel, done.cause()));
    }

    private static void logFailure(String operation, Channel channel, Throwable cause) {
        if (cause != null) {
            LOG.debug("{} failed: channel={} cause={}", operation, channel, cause.toString());
        }
    }
}
