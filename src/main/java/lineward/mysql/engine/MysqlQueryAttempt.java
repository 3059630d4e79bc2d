package lineward.mysql.engine;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lineward.frontend.RateLimitedLog;
import lineward.mysql.session.Work;
import lineward.mysql.wire.PacketRole;
import lineward.mysql.wire.Packets;
import lineward.scheduling.AttemptOutcome;
import lineward.spool.SpooledResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One attempt on an engine: its command, the reply so far, and its listener. A reply without rows and a short
 * result are buffered, and processed as the command requires. A longer result is spooled, so that the
 * connection is free after the last packet, however slowly the client reads. Confined to the event loop.
 */
public final class MysqlQueryAttempt {
    private enum ReplyState {
        /** The reply is being buffered, or has not started. */
        BUFFERING,
        /** The reply is being spooled, and the client may not read it yet. */
        SPOOLING,
        /** The reply is being spooled, and the client may read it. */
        STREAMING,
        /** The rest of the reply is discarded. */
        DISCARDING,
        /** The attempt has ended. */
        ENDED
    }

    private static final Logger LOGGER = LoggerFactory.getLogger(MysqlQueryAttempt.class);
    private static final RateLimitedLog LOG = new RateLimitedLog(LOGGER);

    /** Maximum size of a buffered result; a longer one is spooled. */
    private static final int MAX_BUFFERED_BYTES = 64 * 1024;

    /** Sequence number of the first packet of a reply. */
    private static final int FIRST_REPLY_SEQUENCE = 1;

    private static final double NANOS_PER_MS = TimeUnit.MILLISECONDS.toNanos(1);

    private final Work command;
    private final Map<String, String> sessionSettings;
    private final long timeoutMs;
    private final AttemptListener listener;
    private final long startedNanos = System.nanoTime();
    private ReplyState state = ReplyState.BUFFERING;
    /** Null before the first packet, once the reply is spooled, and after the end. */
    private ReplyBuffer buffered;
    /** Whether the columns of a result have been received. Only rows are spooled, after their columns. */
    private boolean rowsFollow;
    /** Null unless the reply is spooled. */
    private SpoolWriter spoolWriter;
    /** The error packet that ended a spooled reply; null if there is none. */
    private byte[] engineError;
    /** Null until a pool has assigned a connection. */
    private MysqlEngineConnection connection;
    /** The pool of the connection; null until then. */
    private EngineConnectionPool pool;

    /**
     * Creates an attempt that has not started.
     *
     * @param sessionSettings the session variables that the engine must have set when it executes the command
     * @param timeoutMs the attempt's timeout, from which the spool determines when the response may start
     */
    public MysqlQueryAttempt(
            Work command, Map<String, String> sessionSettings, long timeoutMs, AttemptListener listener) {
        this.command = command;
        this.sessionSettings = sessionSettings;
        this.timeoutMs = timeoutMs;
        this.listener = listener;
    }

    Work command() {
        return command;
    }

    Map<String, String> sessionSettings() {
        return sessionSettings;
    }

    /** Records the connection that executes this attempt, and its pool. */
    void assignTo(MysqlEngineConnection assigned, EngineConnectionPool assignedPool) {
        connection = assigned;
        pool = assignedPool;
    }

    void commandWritten() {
        listener.commandWritten();
    }

    /** Cancels the attempt; has no effect if it has ended or has no connection. */
    public void cancel() {
        if (state != ReplyState.ENDED && connection != null) {
            connection.cancel();
        }
    }

    /** Adds a packet to the reply and takes over its reference. */
    void receive(ByteBufAllocator alloc, ByteBuf frame, PacketRole role) {
        try {
            switch (state) {
                case BUFFERING -> buffer(alloc, frame, role);
                case SPOOLING, STREAMING -> spool(frame, role);
                case DISCARDING, ENDED -> {}
            }
        } finally {
            frame.release();
        }
    }

    /** Spools a packet, except an error: it ends the reply without the rest of the rows. */
    private void spool(ByteBuf frame, PacketRole role) {
        if (role == PacketRole.LAST_ERROR) {
            engineError = ByteBufUtil.getBytes(frame);
        } else {
            spoolWriter.write(frame, frame.readableBytes(), role);
            applySpoolPolicy();
        }
    }

    private void buffer(ByteBufAllocator alloc, ByteBuf frame, PacketRole role) {
        if (buffered == null) {
            buffered = new ReplyBuffer(alloc.heapBuffer(), pool.replyBudget());
        }
        if (!buffered.append(frame, role)) {
            continueWithoutBuffer(frame, role);
            return;
        }
        rowsFollow |= role == PacketRole.HEAD_END;
        if (rowsFollow && mustSpool(role)) {
            startSpooling();
        }
    }

    /** Spools a packet that can't be buffered. A reply whose rows have not started is discarded instead. */
    private void continueWithoutBuffer(ByteBuf frame, PacketRole role) {
        if (!rowsFollow) {
            LOG.info("engine reply discarded", "engine", pool.name(), "reply buffers are full");
            releaseBuffer();
            state = ReplyState.DISCARDING;
            return;
        }
        startSpooling();
        if (state != ReplyState.DISCARDING) {
            spool(frame, role);
        }
    }

    private boolean mustSpool(PacketRole role) {
        boolean tooLong = buffered.size() > MAX_BUFFERED_BYTES && role.isRowOrSuccess();
        return tooLong || listener.alwaysSpools();
    }

    /** Moves the buffered packets to the spool, or discards the reply if the listener does not need it. */
    private void startSpooling() {
        SpooledResult result = listener.createSpooledResult();
        if (result == null) {
            releaseBuffer();
            state = ReplyState.DISCARDING;
            return;
        }
        state = ReplyState.SPOOLING;
        spoolWriter = new SpoolWriter(result);
        ReplyBuffer packets = buffered;
        buffered = null;
        packets.moveTo(spoolWriter);
        result.onFlowChange(() -> {
            if (state != ReplyState.ENDED && connection != null) {
                connection.setReading(result.mayReadEngine());
            }
        });
        applySpoolPolicy();
    }

    /** Starts the response once the spool permits it, and pauses reading if the spool can't take more. */
    private void applySpoolPolicy() {
        double limitMs = timeoutMs;
        if (state == ReplyState.SPOOLING && spoolWriter.result().shouldStartResponse(elapsedMs(), limitMs)) {
            state = ReplyState.STREAMING;
            if (!listener.responseStarted()) {
                discard();
            }
        }
        if (!spoolWriter.result().mayReadEngine()) {
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
        spoolWriter.result().fail();
    }

    /** Ends the attempt and notifies the listener; has no effect if the attempt has already ended. */
    void end(AttemptOutcome reported) {
        if (state == ReplyState.ENDED) {
            return;
        }
        // The engine's reply may be complete although part of it has been discarded or released.
        boolean incomplete = state == ReplyState.DISCARDING
                || (spoolWriter != null && spoolWriter.result().isReleased());
        AttemptOutcome outcome = incomplete ? AttemptOutcome.CANCELLED : reported;
        boolean repliesWithError = state == ReplyState.SPOOLING && engineError != null;
        state = ReplyState.ENDED;
        if (outcome != AttemptOutcome.OK) {
            releaseBuffer();
        }
        ByteBuf reply = buffered == null ? null : buffered.detach();
        buffered = null;
        if (spoolWriter != null) {
            endSpool(outcome);
        }
        // If the client has received nothing yet, the error is the whole reply.
        listener.ended(outcome, repliesWithError ? errorReply(outcome) : reply);
    }

    private void releaseBuffer() {
        if (buffered != null) {
            buffered.release();
            buffered = null;
        }
    }

    /** Returns the engine's error as a complete reply; null if the outcome is not OK. */
    private ByteBuf errorReply(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.OK ? Packets.withSequence(engineError, FIRST_REPLY_SEQUENCE) : null;
    }

    private void endSpool(AttemptOutcome outcome) {
        if (outcome != AttemptOutcome.OK) {
            spoolWriter.result().fail();
        } else if (engineError != null) {
            spoolWriter.result().fail(engineError);
        } else {
            spoolWriter.result().complete();
        }
    }
}
