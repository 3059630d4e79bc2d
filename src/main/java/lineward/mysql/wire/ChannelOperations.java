package lineward.mysql.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes to channels and closes them. Failures are only logged: after a failed write Netty closes the
 * channel, and the channel's handler handles the close.
 */
public final class ChannelOperations {
    private static final Logger LOG = LoggerFactory.getLogger(ChannelOperations.class);

    private ChannelOperations() {}

    /** Writes and flushes the frame, and takes over its reference. */
    public static void write(Channel channel, ByteBuf frame) {
        channel.writeAndFlush(frame).addListener(done -> logFailure("channel write", channel, done.cause()));
    }

    /** Closes the channel; closing a closed channel has no effect. */
    public static void close(Channel channel) {
        ChannelFuture closing = channel.close();
        closing.addListener(done -> logFailure("channel close", channel, done.cause()));
    }

    private static void logFailure(String operation, Channel channel, Throwable cause) {
        if (cause != null) {
            LOG.debug("{} failed: address={} cause={}", operation, channel.remoteAddress(), cause.toString());
        }
    }
}
