package lineward.frontend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Closes an idle connection without losing a request or response. Bytes that have already arrived are read
 * first, and a request among them keeps the connection open. Otherwise the output is shut down, and bytes
 * that arrive later are discarded until the peer closes the connection: closing a socket with unread bytes
 * would reset the connection and lose responses in flight. Used on the channel's event loop.
 */
public final class LingeringClose extends ChannelInboundHandlerAdapter {
    private static final String HANDLER_NAME = "lingering-close";
    /** Delay before the shutdown, during which the event loop reads the bytes that have arrived. */
    private static final int READ_DELAY_MS = 1;
    /** Time that the peer has to close the connection, which most peers do within a round trip. */
    private static final int LINGER_TIMEOUT_MS = 500;

    private LingeringClose() {}

    /**
     * Closes the connection unless a request arrives first. Does nothing if it is already closing.
     *
     * @param idle returns whether the connection is idle; called after the bytes that have arrived were read
     * @param staysOpen called if the connection is not idle and therefore stays open
     */
    public static void begin(Channel channel, BooleanSupplier idle, Runnable staysOpen) {
        afterRead(channel, idle, staysOpen, () -> shutdownAndLinger(channel));
    }

    /** Like {@link #begin}, but closes without lingering. For a peer that has not sent anything yet. */
    public static void closeWithoutLingering(Channel channel, BooleanSupplier idle, Runnable staysOpen) {
        afterRead(channel, idle, staysOpen, () -> Channels.close(channel));
    }

    private static void afterRead(Channel channel, BooleanSupplier idle, Runnable staysOpen, Runnable close) {
        schedule(channel, READ_DELAY_MS, () -> {
            if (!channel.isActive() || isClosing(channel)) {
                return;
            }
            Runnable next = idle.getAsBoolean() ? close : staysOpen;
            next.run();
        });
    }

    private static boolean isClosing(Channel channel) {
        return channel.pipeline().get(HANDLER_NAME) != null;
    }

    private static void shutdownAndLinger(Channel channel) {
        if (channel instanceof DuplexChannel duplex) {
            channel.pipeline().addFirst(HANDLER_NAME, new LingeringClose());
            Channels.shutdownOutput(duplex);
            schedule(channel, LINGER_TIMEOUT_MS, () -> Channels.close(channel));
        } else {
            Channels.close(channel);
        }
    }

    private static void schedule(Channel channel, int delayMs, Runnable task) {
        Future<?> unused = channel.eventLoop().schedule(task, delayMs, TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ReferenceCountUtil.release(message);
    }
}
