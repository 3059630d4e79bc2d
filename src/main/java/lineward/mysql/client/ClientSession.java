package lineward.mysql.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;
import lineward.frontend.ReceiveBudget;
import lineward.mysql.session.PreparedStatements;
import lineward.mysql.session.SessionSettings;
import lineward.mysql.wire.Auth;
import lineward.mysql.wire.Handshake;
import lineward.mysql.wire.Latin1Texts;
import lineward.mysql.wire.PacketDecoder;
import lineward.mysql.wire.Packets;
import lineward.mysql.wire.SqlError;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The session of one client: its connection, its state, and the packets that are queued while a command is in
 * progress. {@link ClientCommands} and {@link QueryRunner} execute the commands. Confined to the event loop.
 */
final class ClientSession extends SimpleChannelInboundHandler<ByteBuf> implements ReceiveBudget.Connection {
    private static final Logger LOG = LoggerFactory.getLogger(ClientSession.class);
    /** Limit on packets queued while a command is in progress; reading pauses when the queue is full. */
    private static final int MAX_PENDING_PACKETS = 8;
    /** Size of the queued packets at which reading pauses. */
    private static final long MAX_PENDING_BYTES = 64 * 1024;
    /** The payload that confirms fast authentication with caching_sha2_password. */
    private static final byte[] FAST_AUTH_SUCCESS = {1, 3};

    private final ClientContext context;
    private final int clientNumber;
    private final PacketDecoder decoder;
    private final long connectedAtNanos = System.nanoTime();
    private final Deque<ByteBuf> pendingPackets = new ArrayDeque<>();
    private final ClientLogin login;
    private final PreparedStatements statements;
    private SessionState state = SessionState.AWAITING_LOGIN;
    /** False while the receive budget has no capacity for further bytes of this client. */
    private boolean readingAllowed = true;

    private ClientReplyWriter replies;
    private SpooledResultSender resultSender;
    private QueryRunner queries;
    private ClientCommands commands;

    /**
     * @param clientNumber the client's number, which the greeting also reports as its thread id
     * @param decoder the decoder before this handler in the pipeline
     */
    ClientSession(ClientContext context, int clientNumber, PacketDecoder decoder) {
        super(false);
        this.context = context;
        this.clientNumber = clientNumber;
        this.decoder = decoder;
        login = new ClientLogin(context.passwords());
        statements = new PreparedStatements(context.statementLimits());
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        SessionSettings settings = new SessionSettings();
        replies = new ClientReplyWriter(ctx.channel(), context.sendBudget(), this::resumeReply);
        resultSender = new SpooledResultSender(this, context.spool(), replies);
        queries = new QueryRunner(this, context, replies, settings, statements, resultSender);
        Supplier<String> statistics = context.statistics();
        commands = new ClientCommands(this, statistics, replies, settings, statements, resultSender, queries);
    }

    /** Returns the user name; must not be called before the login packet has been received. */
    String user() {
        return login.user();
    }

    int clientNumber() {
        return clientNumber;
    }

    Channel channel() {
        return replies.channel();
    }

    /** Returns whether no command is in progress or queued, all replies are flushed and no cursor is open. */
    boolean isIdle() {
        return isBetweenCommands() && !statements.hasOpenCursor();
    }

    private boolean isBetweenCommands() {
        return state.acceptsPackets() && pendingPackets.isEmpty() && replies.isFlushed();
    }

    /** Disconnects the client with an error if it is idle apart from open cursors. */
    void closeForShutdown() {
        if (isBetweenCommands()) {
            replies.beginUnsolicitedReply();
            closeWithError(SqlError.shuttingDown());
        }
    }

    /** Returns whether the client connected before this {@link System#nanoTime} and is not authenticated. */
    boolean isUnauthenticatedSince(long nanoTime) {
        return state.isUnauthenticated() && connectedAtNanos - nanoTime < 0;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        if (context.clients().add(this)) {
            replies.send(Handshake.greeting(ctx.alloc(), clientNumber, login.nonce()));
        } else {
            replies.beginUnsolicitedReply();
            closeWithError(SqlError.tooManyConnections());
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf packet) {
        pendingPackets.add(packet);
        processPending();
    }

    /** Processes the queued packets in order, until one waits for an engine or for the client to read. */
    private void processPending() {
        while (mayProcessNext()) {
            ByteBuf packet = pendingPackets.poll();
            try {
                process(packet);
            } finally {
                packet.release();
            }
        }
        updateReading();
        updateReceiveBudget();
    }

    private boolean mayProcessNext() {
        return state.acceptsPackets() && !pendingPackets.isEmpty() && replies.acceptsCommand();
    }

    private void updateReading() {
        int packets = pendingPackets.size();
        boolean isQueueFull = packets >= MAX_PENDING_PACKETS || pendingBytes() >= MAX_PENDING_BYTES;
        channel().config().setAutoRead(readingAllowed && !isQueueFull);
        decoder.setPaused(isQueueFull);
    }

    private long pendingBytes() {
        return pendingPackets.stream().mapToLong(ByteBuf::readableBytes).sum();
    }

    private void updateReceiveBudget() {
        if (channel().isActive()) {
            long partialBytes = ReceiveBudget.bufferBytes(decoder.undecodedBytes());
            context.receiveBudget().update(this, partialBytes + pendingBytes());
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        updateReceiveBudget();
        ctx.fireChannelReadComplete();
    }

    @Override
    public boolean hasSentMessage() {
        return !state.isUnauthenticated();
    }

    @Override
    public boolean awaitsResponse() {
        return !isBetweenCommands();
    }

    @Override
    public void setReadingAllowed(boolean allowed) {
        readingAllowed = allowed;
        updateReading();
    }

    @Override
    public void evict() {
        LOG.info("client connection closed: client={} cause=receive buffers are full", clientNumber);
        replies.close();
    }

    private void process(ByteBuf packet) {
        replies.setRequestSequence(Packets.sequence(packet));
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
            case DENIED -> closeWithError(SqlError.accessDenied(login.user()));
            case ACCEPTED -> completeLogin();
        }
    }

    private void requestAuthSwitch() {
        transition(SessionState.Event.AUTH_SWITCH_REQUESTED);
        int sequence = replies.nextSequence();
        replies.send(Handshake.authSwitch(replies.alloc(), sequence, Auth.NATIVE, login.nonce()));
    }

    private void completeLogin() {
        transition(SessionState.Event.AUTHENTICATED);
        replies.setDialect(login.dialect());
        if (login.awaitsFastAuthConfirmation()) {
            int sequence = replies.nextSequence();
            replies.send(Handshake.authData(replies.alloc(), sequence, FAST_AUTH_SUCCESS));
            replies.setRequestSequence(sequence);
        }
        if (login.schema().isEmpty()) {
            replies.sendOk();
        } else {
            queries.useSchema(Latin1Texts.encode(login.schema()));
        }
    }

    /** Applies an event to the state. */
    void transition(SessionState.Event event) {
        state = state.after(event);
    }

    /**
     * Records that the query or the stream of the current command has ended. Once both have ended, the queued
     * packets are processed.
     */
    void queryOrStreamEnded(SessionState.Event event) {
        transition(event);
        channel().eventLoop().execute(this::processPending);
    }

    /** Sends an error and closes the connection once it is written. */
    void closeWithError(SqlError failure) {
        transition(SessionState.Event.CLOSE_REQUESTED);
        replies.sendErrorAndClose(failure);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        resumeReply();
    }

    /** Continues the reply that is being sent, and then the queued packets, as the client reads again. */
    private void resumeReply() {
        resultSender.resume();
        processPending();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOG.info("client connection failed: client={} cause={}", clientNumber, cause.toString());
        if (cause instanceof TooLongFrameException || cause.getCause() instanceof TooLongFrameException) {
            replies.setRequestSequence(0);
            closeWithError(SqlError.packetTooLarge(context.maxPayloadBytes()));
        } else if (state == SessionState.AWAITING_LOGIN && cause instanceof DecoderException) {
            replies.setRequestSequence(1);
            closeWithError(SqlError.malformedHandshake());
        } else {
            replies.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        transition(SessionState.Event.DISCONNECTED);
        context.clients().remove(this);
        context.receiveBudget().remove(this);
        replies.closed();
        pendingPackets.forEach(ByteBuf::release);
        pendingPackets.clear();
        queries.abort();
        resultSender.close();
        statements.closeAll();
    }
}
