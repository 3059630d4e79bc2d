package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import java.util.ArrayDeque;
import java.util.Deque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The session of one client: its connection, its state, and the packets that wait while a command is
 * carried out. The commands themselves are the work of {@link ClientCommands} and {@link QueryRunner}.
 * Confined to the event loop.
 */
final class ClientSession extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOG = LoggerFactory.getLogger(ClientSession.class);
    /** Packets that may wait behind the command that is carried out; past them the connection is not read. */
    private static final int MAX_PENDING_PACKETS = 8;
    /** Tells a client of caching_sha2_password that its proof was enough: more data, fast authentication. */
    private static final byte[] FAST_AUTH_SUCCESS = {1, 3};

    private final MysqlServer server;
    private final int number;
    private final long connectedAtNanos = System.nanoTime();
    private final Deque<ByteBuf> pendingPackets = new ArrayDeque<>();
    private final ClientLogin login;
    private final PreparedStatements statements;
    private SessionState state = SessionState.AWAITING_LOGIN;
    private ReplyWriter replies;
    private SpoolStream stream;
    private QueryRunner queries;
    private ClientCommands commands;

    /**
     * @param number by which this server tells its clients apart, also sent to the client as its thread id
     */
    ClientSession(MysqlServer server, int number) {
        super(false);
        this.server = server;
        this.number = number;
        login = new ClientLogin(server);
        statements = new PreparedStatements(server);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        SessionSettings settings = new SessionSettings();
        replies = new ReplyWriter(ctx.channel());
        stream = new SpoolStream(this, server, replies);
        queries = new QueryRunner(this, server, replies, settings, statements, stream);
        commands = new ClientCommands(this, server, replies, settings, statements, stream, queries);
    }

    /** Returns the user's name; only once the client has sent its login. */
    String user() {
        return login.user();
    }

    int number() {
        return number;
    }

    Channel channel() {
        return replies.channel();
    }

    /** Returns whether the client waits for nothing: no command, no reply under way and no open cursor. */
    boolean isIdle() {
        return isBetweenCommands() && !statements.hasOpenCursor();
    }

    private boolean isBetweenCommands() {
        return state.acceptsPackets() && pendingPackets.isEmpty() && replies.isFlushed();
    }

    /** The process shuts down and cursors have had their time: a client between commands is disconnected. */
    void closeForShutdown() {
        if (isBetweenCommands()) {
            replies.answerUnprompted();
            closeWith(Failure.goingDown());
        }
    }

    /** Returns whether the client connected before that time and has not been authenticated. */
    boolean isUnauthenticatedSince(long nanoTime) {
        return state.isUnauthenticated() && connectedAtNanos - nanoTime < 0;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        if (server.addClient(this)) {
            replies.send(Handshake.greeting(ctx.alloc(), MysqlServer.VERSION, number, login.nonce()));
        } else {
            replies.answerUnprompted();
            closeWith(Failure.full());
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf packet) {
        pendingPackets.add(packet);
        processPending();
    }

    private void processPending() {
        while (state.acceptsPackets() && !pendingPackets.isEmpty()) {
            ByteBuf packet = pendingPackets.poll();
            try {
                process(packet);
            } finally {
                packet.release();
            }
        }
        channel().config().setAutoRead(pendingPackets.size() < MAX_PENDING_PACKETS);
    }

    private void process(ByteBuf packet) {
        replies.answerTo(Packets.sequence(packet));
        ByteBuf payload = Packets.payload(packet);
        if (state.isUnauthenticated()) {
            authenticate(payload);
        } else {
            commands.execute(payload);
        }
    }

    private void authenticate(ByteBuf payload) {
        switch (login.receive(payload)) {
            case SWITCH_REQUIRED -> requestAuthSwitch();
            case DENIED -> closeWith(Failure.denied(login.user()));
            case ACCEPTED -> authenticated();
        }
    }

    private void requestAuthSwitch() {
        enter(SessionState.Event.AUTH_SWITCH_REQUESTED);
        replies.send(Handshake.switchTo(replies.alloc(), replies.nextSequence(), Auth.NATIVE, login.nonce()));
    }

    private void authenticated() {
        enter(SessionState.Event.AUTHENTICATED);
        replies.setDialect(login.dialect());
        if (login.awaitsFastAuthConfirmation()) {
            int sequence = replies.nextSequence();
            replies.send(Handshake.bytes(replies.alloc(), sequence, FAST_AUTH_SUCCESS));
            replies.answerTo(sequence);
        }
        if (login.schema().isEmpty()) {
            replies.sendOk();
        } else {
            queries.useSchema(Texts.latin1(login.schema()));
        }
    }

    /** Takes the session where the event leads it. */
    void enter(SessionState.Event event) {
        state = state.after(event);
    }

    /**
     * The query or the stream of the present command has ended; packets that wait are taken up if both have.
     */
    void commandStepEnded(SessionState.Event event) {
        enter(event);
        channel().eventLoop().execute(this::processPending);
    }

    /** Sends a last error and closes the connection behind it. */
    void closeWith(Failure failure) {
        enter(SessionState.Event.CLOSE_REQUESTED);
        replies.sendLast(failure);
    }

    /** The coordinator has rejected the query; see {@link QueryRunner#reject}. */
    void reject(Query query, long retryAfterMs) {
        queries.reject(query, retryAfterMs);
    }

    /** The query may have run and has no complete answer; see {@link QueryRunner#fail}. */
    void fail(Query query) {
        queries.fail(query);
    }

    /** The complete reply has come; see {@link QueryRunner#replyReceived}. */
    void replyReceived(Query query, ByteBuf reply) {
        queries.replyReceived(query, reply);
    }

    /** The response goes out from now on; see {@link QueryRunner#responseStarted}. */
    void responseStarted(Query query) {
        queries.responseStarted(query);
    }

    /** The attempt whose response goes out has ended; see {@link QueryRunner#attemptEnded}. */
    void attemptEnded(Query query) {
        queries.attemptEnded(query);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        stream.resume();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOG.info("client connection failed client={} cause={}", number, cause.toString());
        if (cause instanceof TooLongFrameException || cause.getCause() instanceof TooLongFrameException) {
            replies.answerTo(0);
            closeWith(Failure.tooLarge(server.maxPacket()));
        } else if (state == SessionState.AWAITING_LOGIN && cause instanceof DecoderException) {
            replies.answerTo(1);
            closeWith(Failure.malformedHandshake());
        } else {
            replies.close();
        }
    }

    /** Nothing of a client that has gone is carried on. */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        enter(SessionState.Event.DISCONNECTED);
        server.removeClient(this);
        pendingPackets.forEach(ByteBuf::release);
        pendingPackets.clear();
        queries.abort();
        stream.close();
        statements.closeAll();
    }
}
