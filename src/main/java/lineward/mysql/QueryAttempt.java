package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lineward.scheduling.AttemptOutcome;
import lineward.spool.SpooledResult;

/**
 * One attempt at an engine: its work, the reply so far, and its listener. A short reply is buffered; a longer
 * one is spooled, so that the engine is free once its last byte has come. Used by one event loop only.
 */
final class QueryAttempt {
    /** What becomes of the reply. */
    private enum ReplyState {
        /** It is buffered, or has not begun. */
        BUFFERING,
        /** It is spooled; the client sees nothing of it yet. */
        SPOOLING,
        /** It is spooled, and the client reads it as it comes. */
        STREAMING,
        /** Nobody wants the rest of it. */
        DISCARDING,
        /** The attempt has ended. */
        ENDED
    }

    /** Bytes of a reply that are buffered; a longer one is spooled. */
    private static final int MAX_BUFFERED_BYTES = 64 * 1024;

    private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

    final Work work;
    /** Settings of the client's session that must be in place at the engine. */
    final Map<String, String> settings;

    private final long timeoutMs;
    private final AttemptListener listener;
    private final long startedNanos = System.nanoTime();
    private ReplyState state = ReplyState.BUFFERING;
    /** Null before the first packet, once the reply is spooled and at the end. */
    private ByteBuf buffered;
    /** Bytes of the buffer that come before the rows. */
    private int headBytes;
    /** Null unless the reply is spooled. */
    private SpoolWriter spool;
    /** Null until the attempt has been given to one. */
    EngineConnection connection;

    /**
     * An attempt that has not started.
     *
     * @param timeoutMs how long the attempt may take, in milliseconds
     */
    QueryAttempt(Work work, Map<String, String> settings, long timeoutMs, AttemptListener listener) {
        this.work = work;
        this.settings = settings;
        this.timeoutMs = timeoutMs;
        this.listener = listener;
    }

    void commandWritten() {
        listener.commandWritten();
    }

    /** Cancels the attempt, unless it has ended or no engine has got it. */
    void cancel() {
        if (state != ReplyState.ENDED && connection != null) {
            connection.cancel();
        }
    }

    /** Takes in a packet of the reply, of which it takes over the reference. */
    void take(ByteBufAllocator alloc, ByteBuf frame, ReplyTracker.PacketRole place) {
        try {
            switch (state) {
                case BUFFERING -> buffer(alloc, frame, place);
                case SPOOLING, STREAMING -> {
                    spool.write(frame, frame.readableBytes(), place);
                    spooled();
                }
                case DISCARDING, ENDED -> {}
            }
        } finally {
            frame.release();
        }
    }

    private void buffer(ByteBufAllocator alloc, ByteBuf frame, ReplyTracker.PacketRole place) {
        if (buffered == null) {
            buffered = alloc.heapBuffer(frame.readableBytes());
        }
        buffered.writeBytes(frame);
        if (place == ReplyTracker.PacketRole.HEAD || place == ReplyTracker.PacketRole.HEAD_END) {
            headBytes = buffered.readableBytes();
        }
        boolean tooLong = buffered.readableBytes() > MAX_BUFFERED_BYTES && place.mayBeBehindRows();
        boolean rowsFollow = place == ReplyTracker.PacketRole.HEAD_END;
        if (tooLong || (rowsFollow && listener.alwaysSpools())) {
            startSpooling(place);
        }
    }

    /** Moves what has been buffered to the spool. */
    private void startSpooling(ReplyTracker.PacketRole lastPlace) {
        SpooledResult result = listener.openSpool();
        ByteBuf packets = buffered;
        buffered = null;
        try {
            if (result == null) {
                state = ReplyState.DISCARDING;
                return;
            }
            state = ReplyState.SPOOLING;
            spool = new SpoolWriter(result);
            spool.writeBuffered(packets, headBytes, lastPlace);
        } finally {
            packets.release();
        }
        result.onFlowChange(() -> {
            if (state != ReplyState.ENDED && connection != null) {
                connection.setReading(result.mayReadEngine());
            }
        });
        spooled();
    }

    /** Lets the client read once it is time for that; a full spool stops the reading from the engine. */
    private void spooled() {
        double limitMs = timeoutMs;
        if (state == ReplyState.SPOOLING && spool.result().shouldStartResponse(elapsedMs(), limitMs)) {
            state = ReplyState.STREAMING;
            if (!listener.responseStarted()) {
                discard();
            }
        }
        if (!spool.result().mayReadEngine()) {
            connection.setReading(false);
        }
    }

    private double elapsedMs() {
        return (double) (System.nanoTime() - startedNanos) / NANOS_PER_MS;
    }

    private void discard() {
        if (state != ReplyState.ENDED) {
            state = ReplyState.DISCARDING;
        }
        spool.result().fail();
    }

    /** Ends the attempt; only the first end counts. */
    void end(AttemptOutcome reported) {
        if (state == ReplyState.ENDED) {
            return;
        }
        // The end of a reply came, but the spool has not kept all of it.
        boolean incomplete = state == ReplyState.DISCARDING
                || (spool != null && spool.result().isReleased());
        AttemptOutcome outcome = incomplete ? AttemptOutcome.CANCELLED : reported;
        state = ReplyState.ENDED;
        ByteBuf reply = buffered;
        buffered = null;
        if (outcome != AttemptOutcome.OK && reply != null) {
            reply.release();
            reply = null;
        }
        if (spool != null) {
            endSpool(outcome);
        }
        listener.ended(outcome, reply);
    }

    private void endSpool(AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.OK) {
            spool.result().complete();
        } else {
            spool.result().fail();
        }
    }
}
