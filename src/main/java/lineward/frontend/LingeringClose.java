package lineward.frontend;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Ends a connection that rests, so that nothing is lost on it. What the peer has sent by then is read first,
 * and may keep the connection open. Else the sending half is shut, and what still comes is read and dropped
 * until the peer closes too: a close over unread bytes resets the connection and drops answers on their way.
 */
public final class LingeringClose extends ChannelInboundHandlerAdapter {
    private static final String NAME = "lingering-close";
    /** A turn of the loop that reads what is there lies between the decision and the shutdown. */
    private static final int READ_AHEAD_MS = 1;
    /** A peer that listens closes within a round trip; one that does not must not hold a descriptor long. */
    private static final int LASTS_MS = 500;

    private LingeringClose() {}

    /**
     * Ends the connection, unless something comes first; one that is ending already is passed over.
     *
     * @param rests whether the connection still rests
     * @param staysOpen is called where it does not
     */
    public static void begin(Channel channel, BooleanSupplier rests, Runnable staysOpen) {
        afterReading(channel, rests, staysOpen, () -> {
            if (channel instanceof DuplexChannel duplex) {
                channel.pipeline().addFirst(NAME, new LingeringClose());
                duplex.shutdownOutput();
                channel.eventLoop().schedule(() -> channel.close(), LASTS_MS, TimeUnit.MILLISECONDS);
            } else {
                channel.close();
            }
        });
    }

    /** The same for a peer that has never spoken and is owed no answer: nothing lingers. */
    public static void closeSilent(Channel channel, BooleanSupplier rests, Runnable staysOpen) {
        afterReading(channel, rests, staysOpen, channel::close);
    }

    private static void afterReading(Channel channel, BooleanSupplier rests, Runnable staysOpen, Runnable end) {
        channel.eventLoop()
                .schedule(
                        () -> {
                            if (!channel.isActive() || channel.pipeline().get(NAME) != null) {
                                return;
                            }
                            (rests.getAsBoolean() ? end : staysOpen).run();
                        },
                        READ_AHEAD_MS,
                        TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ReferenceCountUtil.release(message);
    }
}
