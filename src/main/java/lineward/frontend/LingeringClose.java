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
 * Closes an idle connection so that no request or response is lost. Bytes that the peer has already sent are
 * read first, and a request among them keeps the connection open. Otherwise the sending half is shut down,
 * and later bytes are read and dropped until the peer closes too: a close with unread bytes would reset the
 * connection and drop responses in flight. Used on the channel's event loop.
 */
public final class LingeringClose extends ChannelInboundHandlerAdapter {
    private static final String HANDLER_NAME = "lingering-close";
    /** Delay between decision and shutdown, in which the event loop reads the bytes that have arrived. */
    private static final int READ_AHEAD_MS = 1;
    /** Time until a connection is closed whose peer does not close; other peers close within a round trip. */
    private static final int LINGER_MS = 500;

    private LingeringClose() {}

    /**
     * Closes the connection unless a request arrives first. A connection that is already closing is ignored.
     *
     * @param idle returns whether the connection is still idle after the bytes that have arrived were read
     * @param staysOpen is called if it is not
     */
    public static void begin(Channel channel, BooleanSupplier idle, Runnable staysOpen) {
        afterRead(channel, idle, staysOpen, () -> shutdownAndLinger(channel));
    }

    /** Does the same for a peer that has never sent anything, but closes at once instead of lingering. */
    public static void closeSilent(Channel channel, BooleanSupplier idle, Runnable staysOpen) {
        afterRead(channel, idle, staysOpen, () -> Channels.close(channel));
    }

    private static void afterRead(Channel channel, BooleanSupplier idle, Runnable staysOpen, Runnable end) {
        schedule(channel, READ_AHEAD_MS, () -> {
            if (!channel.isActive() || isClosing(channel)) {
                return;
            }
            Runnable next = idle.getAsBoolean() ? end : staysOpen;
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
            schedule(channel, LINGER_MS, () -> Channels.close(channel));
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
