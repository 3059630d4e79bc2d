package lineward.mysql.engine;

import io.netty.channel.Channel;
import io.netty.handler.codec.DecoderException;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import lineward.mysql.wire.PacketDecoder;

/**
 * Separates the reply to one command from the next command: runs the step that follows a complete reply only
 * once everything that the engine has sent so far has been read, and rejects packets behind the reply. The
 * protocol does not say which command a packet answers, so that such a packet would be taken for the reply to
 * the next command. Confined to the event loop.
 */
final class ReplyBoundary {
    /**
     * Delay after which a step runs if no read follows, although the last read may have left bytes unread.
     */
    private static final int UNREAD_BYTES_DELAY_MS = 1;

    private final Channel channel;
    private final PacketDecoder decoder;
    /** The step that runs once everything has been read; null if there is none. */
    private Runnable nextStep;

    private boolean isReading;

    /** @param decoder the decoder in the channel's pipeline */
    ReplyBoundary(Channel channel, PacketDecoder decoder) {
        this.channel = channel;
        this.decoder = decoder;
    }

    /**
     * Records that a packet was received.
     *
     * @throws DecoderException if the reply before it was complete
     */
    void packetReceived() {
        isReading = true;
        requireNothingBehindReply(nextStep == null);
    }

    /**
     * Runs the step, which sends a command or makes the connection available, once everything has been read.
     */
    void runWhenRead(Runnable step) {
        if (isReading) {
            nextStep = step;
        } else {
            step.run();
        }
    }

    /** Drops the step, because the connection is closed. */
    void cancel() {
        nextStep = null;
    }

    /**
     * Records that a read is complete, and runs the step if there is one and the read has left nothing
     * unread.
     *
     * @param isIdle whether no command is running
     * @throws DecoderException if part of a packet follows a complete reply
     */
    void readCompleted(boolean isIdle) {
        isReading = false;
        boolean isReplyComplete = isIdle || nextStep != null;
        requireNothingBehindReply(!isReplyComplete || !decoder.hasPartialPacket());
        if (nextStep != null && mayHaveUnreadBytes()) {
            Runnable delayed = nextStep;
            Future<?> unused = channel.eventLoop()
                    .schedule(() -> runIfPending(delayed), UNREAD_BYTES_DELAY_MS, TimeUnit.MILLISECONDS);
        } else if (nextStep != null) {
            runIfPending(nextStep);
        }
    }

    /** Returns whether the last read has filled its buffer. */
    private boolean mayHaveUnreadBytes() {
        var lastRead = channel.unsafe().recvBufAllocHandle();
        return lastRead.lastBytesRead() > 0 && lastRead.lastBytesRead() == lastRead.attemptedBytesRead();
    }

    private void runIfPending(Runnable step) {
        if (nextStep == step) {
            nextStep = null;
            step.run();
        }
    }

    private static void requireNothingBehindReply(boolean nothingFollows) {
        if (!nothingFollows) {
            throw new DecoderException("engine sent more than the reply to its command");
        }
    }
}
