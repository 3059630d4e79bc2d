package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import lineward.mysql.ConnectionState.Transition;
import lineward.scheduling.AttemptOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection to a MySQL engine. It carries one attempt at a time, and before the attempt's own command
 * brings settings, schema and prepared statement into place. Used by its event loop only.
 */
final class EngineConnection extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOG = LoggerFactory.getLogger(EngineConnection.class);
    /** How long the reply of a killed statement is awaited before the connection is closed. */
    private static final int KILL_TIMEOUT_MS = 300;
    /** The answer to an execution that the front end can't send. */
    private static final Failure PARAMETERS_CHANGED =
            Failure.wrongArguments("the statement's parameters have changed since it was prepared");

    private final EngineConnectionPool pool;
    private ConnectionState state = ConnectionState.CONNECTING;
    private Channel channel;
    private EngineLogin login;
    private EngineCommands commands;
    private EngineSession session;
    /** Null while the connection is idle. */
    private QueryAttempt attempt;
    /** Follows the reply to the last command. */
    private ReplyTracker tracker;
    /** Time of {@link System#nanoTime}. */
    private long lastUsedNanos = System.nanoTime();

    EngineConnection(EngineConnectionPool pool) {
        super(false);
        this.pool = pool;
    }

    /** Takes the channel that is being connected; called before anything else. */
    void connecting(Channel connectingChannel) {
        channel = connectingChannel;
        login = new EngineLogin(channel, pool.engine());
        commands = new EngineCommands(channel);
        session = new EngineSession(new EngineStatementCache(commands::closeStatement));
    }

    EngineSession session() {
        return session;
    }

    boolean isLoggedIn() {
        return state.isLoggedIn();
    }

    /** Returns whether it is idle and was used last before that time. */
    boolean isIdleSince(long nanoTime) {
        return state == ConnectionState.IDLE && lastUsedNanos < nanoTime;
    }

    void close() {
        ChannelOperations.close(channel);
    }

    /** Ends the attempt as rejected, unless its command has been sent. */
    void rejectUnsent() {
        if (attempt != null && !state.isCommandSent()) {
            fail(AttemptOutcome.REJECTED);
        }
    }

    /** Reads on, or stops reading until the client has read what it was sent. */
    void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    /** Starts the attempt, after the login where that is still under way. */
    void start(QueryAttempt next) {
        attempt = next;
        next.connection = this;
        if (state == ConnectionState.IDLE) {
            sendNextCommand();
        }
    }

    /** Cancels the attempt: what runs is killed; what has not begun ends with the connection. */
    void cancel() {
        if (state == ConnectionState.EXECUTING) {
            moveBy(Transition.KILL);
            setReading(true);
            pool.kill(login.threadId());
            ScheduledFuture<?> timeout =
                    channel.eventLoop().schedule(this::close, KILL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            channel.closeFuture().addListener(done -> timeout.cancel(false));
        } else if (state != ConnectionState.KILLING) {
            fail(AttemptOutcome.CANCELLED);
        }
    }

    private void moveBy(Transition transition) {
        state = state.after(transition);
    }

    private void sendNextCommand() {
        lastUsedNanos = System.nanoTime();
        Transition step = session.nextStep(attempt);
        moveBy(step);
        Work work = attempt.work;
        switch (step) {
            case APPLY_SETTINGS -> send(Commands.QUERY, session.settingsChangeFor(attempt));
            case SELECT_SCHEMA -> send(Commands.INIT_DB, work.schema());
            case PREPARE -> send(Commands.PREPARE, ((Work.Execute) work).text());
            default -> sendOwnCommand(work, attempt);
        }
    }

    private void sendOwnCommand(Work work, QueryAttempt started) {
        if (work instanceof Work.Execute execute) {
            sendExecute(execute);
        } else {
            tracker = new ReplyTracker(work instanceof Work.Prepare);
            commands.send(work);
        }
        commands.whenWritten(started::commandWritten);
    }

    private void sendExecute(Work.Execute work) {
        EngineStatementCache.Prepared statement = session.preparedFor(work);
        if (statement.parameterCount() == work.params()) {
            tracker = new ReplyTracker(false);
            commands.execute(statement.id(), work);
        } else {
            ByteBuf error = Packets.error(channel.alloc(), 1, PARAMETERS_CHANGED);
            attempt.take(channel.alloc(), error, ReplyTracker.PacketRole.LAST_ERROR);
            finish(AttemptOutcome.OK);
        }
    }

    private void send(int command, String latin1) {
        tracker = new ReplyTracker(command == Commands.PREPARE);
        commands.text(command, latin1);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        moveBy(Transition.CONNECT);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        boolean handedOver = false;
        try {
            if (state == ConnectionState.AUTHENTICATING) {
                readLogin(frame);
            } else if (attempt != null) {
                handedOver = readReply(frame);
            } else if (Packets.first(frame) != Packets.ERR) {
                throw new DecoderException("packet that nobody asked for");
            }
        } finally {
            if (!handedOver) {
                frame.release();
            }
        }
    }

    private void readLogin(ByteBuf frame) {
        switch (login.advance(frame)) {
            case CONTINUES -> {}
            case REJECTED -> {
                int code = Packets.errorCode(frame);
                LOG.warn("login rejected: engine={} error={}", pool.name(), code);
                fail(EngineErrorKind.of(code).outcomeAtLogin());
            }
            case ACCEPTED -> {
                moveBy(Transition.AUTHENTICATE);
                if (attempt != null) {
                    sendNextCommand();
                } else {
                    pool.release(this);
                }
            }
        }
    }

    /** Returns whether the frame's reference was handed over to the attempt. */
    private boolean readReply(ByteBuf frame) {
        ReplyTracker.PacketRole place = tracker.classify(frame);
        if (place == ReplyTracker.PacketRole.LAST_ERROR) {
            return readError(frame);
        }
        return switch (state) {
            case APPLYING_SETTINGS -> {
                session.settingsApplied(attempt);
                sendNextCommand();
                yield false;
            }
            case SELECTING_SCHEMA, PREPARING -> {
                readPreparatoryReply(frame, place.isLast());
                yield false;
            }
            default -> {
                readOwnReply(frame, place);
                yield true;
            }
        };
    }

    /** Reads a packet of the reply that the attempt's own command waits for. */
    private void readPreparatoryReply(ByteBuf frame, boolean last) {
        if (state == ConnectionState.PREPARING) {
            session.readPrepared(frame, last, attempt.work);
        } else if (last) {
            session.schemaSelected(attempt.work.schema());
        }
        if (last) {
            sendNextCommand();
        }
    }

    /** Returns whether the frame's reference was handed over to the attempt. */
    private boolean readError(ByteBuf frame) {
        EngineErrorKind kind = EngineErrorKind.of(Packets.errorCode(frame));
        if (kind != EngineErrorKind.COMMAND_FAILED) {
            boolean overloaded = kind == EngineErrorKind.OVERLOADED;
            fail(overloaded ? AttemptOutcome.REJECTED : state.outcomeOfFault());
            return false;
        }
        attempt.take(channel.alloc(), frame, ReplyTracker.PacketRole.LAST_ERROR);
        finish(state == ConnectionState.KILLING ? AttemptOutcome.CANCELLED : AttemptOutcome.OK);
        return true;
    }

    private void readOwnReply(ByteBuf frame, ReplyTracker.PacketRole place) {
        Work work = attempt.work;
        if (work instanceof Work.Prepare) {
            session.readPrepared(frame, place.isLast(), work);
        }
        attempt.take(channel.alloc(), frame, place);
        if (place == ReplyTracker.PacketRole.LAST_OK) {
            session.completed(work);
            finish(AttemptOutcome.OK);
        }
    }

    /** Ends the attempt, whose reply is complete. */
    private void finish(AttemptOutcome outcome) {
        QueryAttempt finished = attempt;
        attempt = null;
        lastUsedNanos = System.nanoTime();
        // A transaction, or what a statement left in the session, must not reach the next client.
        boolean sessionClean = !tracker.inTransaction() && !finished.work.leavesTraces();
        boolean reusable = state.isReusable() && sessionClean;
        moveBy(reusable ? Transition.RELEASE : Transition.RETIRE);
        setReading(true);
        if (reusable) {
            pool.release(this);
        } else {
            close();
        }
        finished.end(outcome);
    }

    private void fail(AttemptOutcome outcome) {
        QueryAttempt failed = attempt;
        attempt = null;
        close();
        if (failed != null) {
            failed.end(outcome);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOG.warn("connection failed: engine={} cause={}", pool.name(), cause.toString());
        fail(state.outcomeOfFault());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closed();
    }

    /** The connection was closed, or has not come up. */
    void closed() {
        if (state != ConnectionState.CLOSED) {
            AttemptOutcome outcome = state.outcomeOfClose();
            moveBy(Transition.CLOSE);
            pool.remove(this);
            fail(outcome);
        }
    }
}
