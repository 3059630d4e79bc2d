package lineward.mysql.engine;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import lineward.mysql.engine.ConnectionState.Transition;
import lineward.mysql.session.Work;
import lineward.mysql.wire.ChannelOperations;
import lineward.mysql.wire.Commands;
import lineward.mysql.wire.PacketRole;
import lineward.mysql.wire.Packets;
import lineward.mysql.wire.ReplyTracker;
import lineward.mysql.wire.SqlError;
import lineward.scheduling.AttemptOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A connection to a MySQL engine for at most one attempt at a time. Preparatory commands apply the settings,
 * select the schema and prepare the statement that the attempt's command needs. Confined to the event loop.
 */
final class EngineConnection extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOG = LoggerFactory.getLogger(EngineConnection.class);
    /** Time limit for the reply to a statement after its kill; then the connection is closed. */
    private static final int KILL_TIMEOUT_MS = 300;
    /** The reply to an execution if the statement's parameter count differs from the one the client knows. */
    private static final SqlError PARAMETERS_CHANGED =
            SqlError.wrongArguments("the statement's parameters have changed since it was prepared");

    private final EngineConnectionPool pool;
    private ConnectionState state = ConnectionState.CONNECTING;
    private Channel channel;
    private EngineLogin login;
    private EngineCommands commands;
    private EngineSession session;
    /** Null if no attempt is assigned. */
    private QueryAttempt attempt;
    /** Classifies the packets of the reply to the last command; null before the first command. */
    private ReplyTracker tracker;
    /** {@link System#nanoTime} of the creation, the last command or the end of the last attempt. */
    private long lastUsedNanos = System.nanoTime();

    EngineConnection(EngineConnectionPool pool) {
        super(false);
        this.pool = pool;
    }

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

    boolean isIdleSince(long nanoTime) {
        return state == ConnectionState.IDLE && lastUsedNanos < nanoTime;
    }

    void close() {
        ChannelOperations.close(channel);
    }

    void rejectUnsent() {
        if (attempt != null && !state.isCommandSent()) {
            fail(AttemptOutcome.REJECTED);
        }
    }

    void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    void start(QueryAttempt next) {
        attempt = next;
        next.assignTo(this);
        if (state == ConnectionState.IDLE) {
            sendNextCommand();
        }
    }

    /** Kills the attempt's running statement at most once. Closes the connection if the command is unsent. */
    void cancel() {
        if (state == ConnectionState.EXECUTING) {
            transition(Transition.KILL);
            setReading(true);
            pool.kill(login.threadId());
            ScheduledFuture<?> timeout =
                    channel.eventLoop().schedule(this::close, KILL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            channel.closeFuture().addListener(done -> timeout.cancel(false));
        } else if (state != ConnectionState.KILLING) {
            fail(AttemptOutcome.CANCELLED);
        }
    }

    private void transition(Transition transition) {
        state = state.after(transition);
    }

    private void sendNextCommand() {
        lastUsedNanos = System.nanoTime();
        Transition step = session.nextStep(attempt);
        transition(step);
        Work work = attempt.work();
        switch (step) {
            case APPLY_SETTINGS -> send(Commands.QUERY, session.settingsChangeFor(attempt));
            case SELECT_SCHEMA -> send(Commands.INIT_DB, work.schema());
            case PREPARE -> send(Commands.STMT_PREPARE, ((Work.Execute) work).text());
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
        if (statement.parameterCount() == work.parameterCount()) {
            tracker = new ReplyTracker(false);
            commands.execute(statement.id(), work);
        } else {
            ByteBuf error = Packets.error(channel.alloc(), 1, PARAMETERS_CHANGED);
            attempt.receive(channel.alloc(), error, PacketRole.LAST_ERROR);
            finish(AttemptOutcome.OK);
        }
    }

    private void send(int command, String latin1) {
        tracker = new ReplyTracker(command == Commands.STMT_PREPARE);
        commands.text(command, latin1);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        transition(Transition.CONNECT);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        boolean ownedByAttempt = false;
        try {
            if (state == ConnectionState.AUTHENTICATING) {
                readLogin(frame);
            } else if (attempt != null) {
                ownedByAttempt = readReply(frame);
            } else if (Packets.firstByte(frame) != Packets.ERR) {
                // Without a command, an engine may only announce by an error that it closes the connection.
                throw new DecoderException("engine sent a packet although no command is running");
            }
        } finally {
            if (!ownedByAttempt) {
                frame.release();
            }
        }
    }

    private void readLogin(ByteBuf frame) {
        switch (login.advance(frame)) {
            case CONTINUES -> {}
            case REJECTED -> {
                int code = Packets.errorCode(frame);
                LOG.warn("engine login rejected: engine={} cause=error {}", pool.name(), code);
                fail(EngineErrorKind.of(code).outcomeAtLogin());
            }
            case ACCEPTED -> {
                transition(Transition.AUTHENTICATE);
                if (attempt != null) {
                    sendNextCommand();
                } else {
                    pool.release(this);
                }
            }
        }
    }

    /** Processes a packet of a reply; returns whether the attempt has taken over the frame's reference. */
    private boolean readReply(ByteBuf frame) {
        PacketRole role = tracker.classify(frame);
        if (role == PacketRole.LAST_ERROR) {
            return readError(frame);
        }
        return switch (state) {
            case APPLYING_SETTINGS -> {
                session.settingsApplied(attempt);
                sendNextCommand();
                yield false;
            }
            case SELECTING_SCHEMA, PREPARING -> {
                readPreparatoryReply(frame, role.isLast());
                yield false;
            }
            default -> {
                readOwnReply(frame, role);
                yield true;
            }
        };
    }

    private void readPreparatoryReply(ByteBuf frame, boolean last) {
        if (state == ConnectionState.PREPARING) {
            session.readPrepared(frame, last, attempt.work());
        } else if (last) {
            session.schemaSelected(attempt.work().schema());
        }
        if (last) {
            sendNextCommand();
        }
    }

    private boolean readError(ByteBuf frame) {
        EngineErrorKind kind = EngineErrorKind.of(Packets.errorCode(frame));
        if (kind != EngineErrorKind.COMMAND_FAILED) {
            boolean overloaded = kind == EngineErrorKind.OVERLOADED;
            fail(overloaded ? AttemptOutcome.REJECTED : state.outcomeOfFault());
            return false;
        }
        attempt.receive(channel.alloc(), frame, PacketRole.LAST_ERROR);
        finish(state == ConnectionState.KILLING ? AttemptOutcome.CANCELLED : AttemptOutcome.OK);
        return true;
    }

    private void readOwnReply(ByteBuf frame, PacketRole role) {
        Work work = attempt.work();
        if (work instanceof Work.Prepare) {
            session.readPrepared(frame, role.isLast(), work);
        }
        attempt.receive(channel.alloc(), frame, role);
        if (role == PacketRole.LAST_OK) {
            session.completed(work);
            finish(AttemptOutcome.OK);
        }
    }

    private void finish(AttemptOutcome outcome) {
        QueryAttempt finished = attempt;
        attempt = null;
        lastUsedNanos = System.nanoTime();
        // An open transaction or a changed session would affect the next client.
        boolean sessionClean = !tracker.inTransaction() && !finished.work().changesSession();
        boolean reusable = state.isReusable() && sessionClean;
        transition(reusable ? Transition.RELEASE : Transition.RETIRE);
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
        LOG.warn("engine connection failed: engine={} cause={}", pool.name(), cause.toString());
        fail(state.outcomeOfFault());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        closed();
    }

    /** Handles the close of the connection, or a failure to open it. */
    void closed() {
        if (state != ConnectionState.CLOSED) {
            AttemptOutcome outcome = state.outcomeOfClose();
            transition(Transition.CLOSE);
            pool.remove(this);
            fail(outcome);
        }
    }
}
