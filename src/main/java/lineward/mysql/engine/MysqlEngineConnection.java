package lineward.mysql.engine;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import java.util.concurrent.TimeUnit;
import lineward.mysql.engine.MysqlConnectionState.Transition;
import lineward.mysql.session.Work;
import lineward.mysql.wire.ChannelOperations;
import lineward.mysql.wire.Commands;
import lineward.mysql.wire.PacketDecoder;
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
final class MysqlEngineConnection extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOG = LoggerFactory.getLogger(MysqlEngineConnection.class);
    /** Time limit for the reply to a statement after its kill; then the connection is closed. */
    private static final int KILL_TIMEOUT_MS = 300;
    /** The reply to an execution if the statement's parameter count differs from the one the client knows. */
    private static final SqlError PARAMETERS_CHANGED =
            SqlError.wrongArguments("the statement's parameters have changed since it was prepared");

    private final EngineConnectionPool pool;
    private final PacketDecoder decoder;
    private MysqlConnectionState state = MysqlConnectionState.CONNECTING;
    private Channel channel;
    private EngineLogin login;
    private EngineCommandWriter commandWriter;
    private EngineSession session;
    private ReplyBoundary boundary;
    /** Null if no attempt is assigned. */
    private MysqlQueryAttempt attempt;
    /** Classifies the packets of the reply to the last command; null before the first command. */
    private ReplyTracker tracker;
    /** {@link System#nanoTime} of the creation, the last command or the end of the last attempt. */
    private long lastUsedNanos = System.nanoTime();

    MysqlEngineConnection(EngineConnectionPool pool, PacketDecoder decoder) {
        super(false);
        this.pool = pool;
        this.decoder = decoder;
    }

    void setChannel(Channel connectingChannel) {
        channel = connectingChannel;
        boundary = new ReplyBoundary(channel, decoder);
        login = new EngineLogin(channel, pool.engine());
        commandWriter = new EngineCommandWriter(channel);
        session = new EngineSession(new EngineStatementCache(commandWriter::closeStatement));
    }

    EngineSession session() {
        return session;
    }

    boolean isLoggedIn() {
        return state.isLoggedIn();
    }

    boolean isIdleSince(long nanoTime) {
        return state == MysqlConnectionState.IDLE && lastUsedNanos < nanoTime;
    }

    void close() {
        ChannelOperations.close(channel);
    }

    void rejectIfUnsent() {
        if (attempt != null && !state.isCommandSent()) {
            fail(AttemptOutcome.REJECTED);
        }
    }

    void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    void start(MysqlQueryAttempt next) {
        attempt = next;
        next.assignTo(this, pool);
        if (state == MysqlConnectionState.IDLE) {
            sendNextCommand();
        }
    }

    /** Kills the attempt's running statement at most once. Closes the connection if the command is unsent. */
    void cancel() {
        if (state == MysqlConnectionState.EXECUTING) {
            transition(Transition.KILL);
            setReading(true);
            pool.kill(login.threadId());
            var timeout = channel.eventLoop().schedule(this::close, KILL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            channel.closeFuture().addListener(done -> timeout.cancel(false));
        } else if (state != MysqlConnectionState.KILLING) {
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
        Work command = attempt.command();
        switch (step) {
            case APPLY_SETTINGS -> send(Commands.QUERY, session.settingsStatementFor(attempt));
            case SELECT_SCHEMA -> send(Commands.INIT_DB, command.schema());
            case PREPARE -> send(Commands.STMT_PREPARE, ((Work.Execute) command).text());
            default -> sendAttemptCommand(command, attempt);
        }
    }

    private void sendAttemptCommand(Work command, MysqlQueryAttempt started) {
        if (command instanceof Work.Execute execute) {
            sendExecute(execute);
        } else {
            tracker = new ReplyTracker(command instanceof Work.Prepare);
            commandWriter.send(command);
        }
        commandWriter.whenWritten(started::commandWritten);
    }

    private void sendExecute(Work.Execute command) {
        EngineStatementCache.Statement statement = session.statementFor(command);
        if (statement.parameterCount() == command.parameterCount()) {
            tracker = new ReplyTracker(false);
            commandWriter.execute(statement.id(), command);
        } else {
            ByteBuf error = Packets.error(channel.alloc(), 1, PARAMETERS_CHANGED);
            attempt.receive(channel.alloc(), error, PacketRole.LAST_ERROR);
            finish(AttemptOutcome.OK);
        }
    }

    private void send(int commandByte, String latin1) {
        tracker = new ReplyTracker(commandByte == Commands.STMT_PREPARE);
        commandWriter.sendText(commandByte, latin1);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        transition(Transition.CONNECT);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        boolean ownedByAttempt = false;
        try {
            boundary.packetReceived();
            if (state == MysqlConnectionState.AUTHENTICATING) {
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

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        boundary.readCompleted(state == MysqlConnectionState.IDLE);
        ctx.fireChannelReadComplete();
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
                boundary.runWhenRead(attempt != null ? this::sendNextCommand : () -> pool.release(this));
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
            case APPLYING_SETTINGS, SELECTING_SCHEMA, PREPARING -> {
                readPreparatoryReply(frame, role.isLast());
                yield false;
            }
            default -> {
                readAttemptReply(frame, role);
                yield true;
            }
        };
    }

    private void readPreparatoryReply(ByteBuf frame, boolean last) {
        if (state == MysqlConnectionState.PREPARING) {
            session.readPrepareReply(frame, last, attempt.command());
        } else if (!last) {
            throw new DecoderException("engine answered the preparation of a statement with a result");
        } else if (state == MysqlConnectionState.APPLYING_SETTINGS) {
            session.settingsApplied(attempt);
        } else {
            session.schemaSelected(attempt.command().schema());
        }
        if (last) {
            boundary.runWhenRead(this::sendNextCommand);
        }
    }

    private boolean readError(ByteBuf frame) {
        EngineErrorKind kind = EngineErrorKind.of(Packets.errorCode(frame));
        if (kind != EngineErrorKind.COMMAND_FAILED) {
            boolean overloaded = kind == EngineErrorKind.OVERLOADED;
            fail(overloaded ? AttemptOutcome.REJECTED : state.outcomeOnEngineFailure());
            return false;
        }
        attempt.receive(channel.alloc(), frame, PacketRole.LAST_ERROR);
        finish(state == MysqlConnectionState.KILLING ? AttemptOutcome.CANCELLED : AttemptOutcome.OK);
        return true;
    }

    private void readAttemptReply(ByteBuf frame, PacketRole role) {
        Work command = attempt.command();
        if (command instanceof Work.Prepare) {
            session.readPrepareReply(frame, role.isLast(), command);
        }
        attempt.receive(channel.alloc(), frame, role);
        if (role == PacketRole.LAST_OK) {
            session.commandCompleted(command);
            finish(AttemptOutcome.OK);
        }
    }

    private void finish(AttemptOutcome outcome) {
        MysqlQueryAttempt finished = attempt;
        attempt = null;
        lastUsedNanos = System.nanoTime();
        // An open transaction or a changed session would affect the next client.
        boolean sessionClean = !tracker.inTransaction() && !finished.command().changesSession();
        boolean reusable = state.isReusable() && sessionClean;
        transition(reusable ? Transition.RELEASE : Transition.RETIRE);
        setReading(true);
        boundary.runWhenRead(reusable ? () -> pool.release(this) : this::close);
        finished.end(outcome);
    }

    private void fail(AttemptOutcome outcome) {
        MysqlQueryAttempt failed = attempt;
        attempt = null;
        boundary.cancel();
        close();
        if (failed != null) {
            failed.end(outcome);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOG.warn("engine connection failed: engine={} cause={}", pool.name(), cause.toString());
        fail(state.outcomeOnEngineFailure());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        handleClosed();
    }

    /** Handles the close of the connection, or a failure to open it. */
    void handleClosed() {
        if (state != MysqlConnectionState.CLOSED) {
            AttemptOutcome outcome = state.outcomeOnClose();
            transition(Transition.CLOSE);
            pool.remove(this);
            fail(outcome);
        }
    }
}
