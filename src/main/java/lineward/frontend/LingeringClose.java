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
 * Closes an idle connection so that no request or response is lost. What the peer has sent by then is read
 * first, and may keep the connection open. Otherwise the sending half is shut down, and what still arrives is
 * read and dropped until the peer closes too: a close over unread bytes would reset the connection and drop
 * responses on their way.
 */
public final class LingeringClose extends ChannelInboundHandlerAdapter {
    private static final String HANDLER_NAME = "lingering-close";
    /**
     * Gives the event loop a turn in which it reads what has arrived, between the decision and the shutdown.
     */
    private static final int READ_AHEAD_MS = 1;
    /**
     * A peer that reads closes within a round trip; one that does not must not hold a descriptor for long.
     */
    private static final int LINGER_MS = 500;

    private LingeringClose() {}

    /**
     * Closes the connection unless a request arrives first; one that is closing already is skipped.
     *
     * @param idle whether the connection is still idle once all that has arrived is read
     * @param staysOpen is called where it is not
     */
    public static void begin(Channel channel, BooleanSupplier idle, Runnable staysOpen) {
        afterRead(channel, idle, staysOpen, () -> shutdownAndLinger(channel));
    }

    /** Does the same for a peer that has never sent anything and awaits no response: nothing lingers. */
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
