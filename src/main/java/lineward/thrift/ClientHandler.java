package lineward.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;
import lineward.frontend.ClientRegistry;
import lineward.frontend.LingeringClose;
import lineward.frontend.RateLimitedLog;
import lineward.frontend.ReceiveBudget;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The connection of one client: decodes its messages and holds the calls that await a response. Runs on the
 * event loop of its channel.
 */
final class ClientHandler extends SimpleChannelInboundHandler<ByteBuf> implements ReceiveBudget.Connection {
    private static final Logger LOGGER = LoggerFactory.getLogger(ClientHandler.class);
    private static final RateLimitedLog LOG = new RateLimitedLog(LOGGER);
    /** Maximum number of open calls on a connection, including those whose response is being written. */
    private static final int MAX_OPEN_CALLS = 32;
    /** Retry-After of a call that is rejected at admission. */
    private static final long RETRY_AFTER_MS = 500;

    private final ClientRegistry<ClientHandler> clients;
    private final OpenCalls calls;
    private final ResponseSender responses;
    private final ReceiveBudget receiveBudget;
    private final FrameDecoder frameDecoder;
    private final Map<Integer, Call> callsBySequenceNumber = new HashMap<>();
    private final ClientCallIds callIds = new ClientCallIds();
    private final ReceivedCalls receivedCalls = new ReceivedCalls(this::submit);
    private Channel channel;
    private long unreadBytes;
    /** Responses that are not completely written. The client still regards their calls as open. */
    private int unsentResponses;

    private boolean receivedMessage;
    private int lastSequenceNumber;

    /** @param frameDecoder the decoder before this handler in the pipeline */
    ClientHandler(
            ClientRegistry<ClientHandler> clients,
            OpenCalls calls,
            ResponseSender responses,
            ReceiveBudget receiveBudget,
            FrameDecoder frameDecoder) {
        this.clients = clients;
        this.calls = calls;
        this.responses = responses;
        this.receiveBudget = receiveBudget;
        this.frameDecoder = frameDecoder;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        clients.connected(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        // One read may deliver several frames, and an earlier one may have closed the connection.
        if (!ctx.channel().isActive()) {
            return;
        }
        receivedMessage = true;
        // Limits the memory for responses to a client that sends but does not read.
        if (unsentResponses >= MAX_OPEN_CALLS) {
            throw new DecoderException("client does not read: " + unsentResponses + " responses not written");
        }
        ThriftReader.Header header = ThriftReader.readHeader(frame);
        if (header.isAbort()) {
            abort(ThriftReader.readAbortedSequenceNumber(frame));
        } else if (header.isCall()) {
            handleCall(header, frame);
        } else {
            throw new DecoderException("unexpected message type " + header.type() + " of " + header.method());
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (ctx.channel().isActive()) {
            receiveBudget.update(this, ReceiveBudget.bufferBytes(frameDecoder.partialFrameBytes()));
            receivedCalls.readCompleted(ctx.channel());
        }
        ctx.fireChannelReadComplete();
    }

    private void handleCall(ThriftReader.Header header, ByteBuf frame) {
        int sequenceNumber = header.sequenceNumber();
        switch (header.method()) {
            case ThriftProtocol.INVOKE -> invoke(sequenceNumber, ThriftReader.readInvocation(frame));
            case ThriftProtocol.PING -> {
                becomeIdleIfNoCallIsOpen();
                send(ThriftWriter.pong(channel.alloc(), sequenceNumber, calls.isRecommendedToClients()));
            }
            default -> {
                becomeIdleIfNoCallIsOpen();
                send(ThriftWriter.unknownMethod(channel.alloc(), header.method(), sequenceNumber));
            }
        }
    }

    /**
     * Cancels an open call. The abort of a completed call has no effect. The abort of a call that was never
     * received violates the protocol.
     */
    private void abort(OptionalInt sequenceNumber) {
        if (sequenceNumber.isEmpty() || sequenceNumber.getAsInt() > lastSequenceNumber) {
            throw new DecoderException("abort of an unknown request");
        }
        Call call = callsBySequenceNumber.remove(sequenceNumber.getAsInt());
        if (call != null) {
            calls.cancel(call);
            becomeIdleIfNoCallIsOpen();
        }
    }

    private void invoke(int sequenceNumber, ThriftReader.Invocation invocation) {
        requireWithinLimits(sequenceNumber);
        becomeIdleIfNoCallIsOpen();
        CallFields fields;
        try {
            fields = calls.validate(invocation);
        } catch (InvalidCallException e) {
            calls.recordInvalid(invocation);
            send(ThriftWriter.protocolError(channel.alloc(), sequenceNumber, e.getMessage()));
            return;
        }
        Call call = new Call(this, sequenceNumber, fields, invocation.statement());
        if (!calls.open(call)) {
            send(overloaded(call));
            return;
        }
        callsBySequenceNumber.put(sequenceNumber, call);
        receivedCalls.add(call);
        clients.markAwaitingResponse(this);
    }

    private void submit(Call call) {
        boolean isOpen = callsBySequenceNumber.get(call.sequenceNumber()) == call;
        if (isOpen && !calls.submit(call)) {
            respond(call, overloaded(call));
        }
    }

    private ByteBuf overloaded(Call call) {
        return ThriftWriter.overloaded(channel.alloc(), call.sequenceNumber(), RETRY_AFTER_MS);
    }

    private void requireWithinLimits(int sequenceNumber) {
        // Sequence numbers must increase: if one were reused, its responses would be ambiguous.
        if (sequenceNumber <= lastSequenceNumber) {
            throw new DecoderException("sequence number " + sequenceNumber + " is not above the last one");
        }
        lastSequenceNumber = sequenceNumber;
        if (callsBySequenceNumber.size() + unsentResponses >= MAX_OPEN_CALLS) {
            throw new DecoderException("more than " + MAX_OPEN_CALLS + " open requests");
        }
    }

    private void becomeIdleIfNoCallIsOpen() {
        if (callsBySequenceNumber.isEmpty()) {
            clients.markIdle(this);
        }
    }

    /** Sends the final response of a call, or releases it if the client no longer waits for it. */
    void respond(Call call, ByteBuf response) {
        if (callsBySequenceNumber.remove(call.sequenceNumber(), call)) {
            send(response);
            becomeIdleIfNoCallIsOpen();
        } else {
            response.release();
        }
    }

    private void send(ByteBuf frame) {
        responses.send(this, frame);
    }

    /** Returns whether a frame that is being read has been incomplete for more than that many nanoseconds. */
    boolean isStalled(long nanos) {
        return !receiveBudget.isWaiting(this) && frameDecoder.isStalled(nanos);
    }

    @Override
    public boolean hasSentMessage() {
        return receivedMessage;
    }

    @Override
    public boolean awaitsResponse() {
        return !callsBySequenceNumber.isEmpty() || unsentResponses > 0;
    }

    @Override
    public void setReadingAllowed(boolean allowed) {
        channel.config().setAutoRead(allowed);
        if (allowed) {
            frameDecoder.restartIncompleteTime();
        }
    }

    @Override
    public void evict() {
        LOG.info("client connection closed", "client", channel.remoteAddress(), "receive buffers are full");
        close();
    }

    /** Returns whether no call is open, no frame partly received and no response still being written. */
    boolean isIdle() {
        return !awaitsResponse() && !frameDecoder.hasPartialFrame();
    }

    /** Closes the connection if it is still idle once the bytes that have arrived are read. */
    void closeGracefully() {
        if (receivedMessage) {
            LingeringClose.begin(channel, this::isIdle, this::becomeIdleIfNoCallIsOpen);
        } else {
            LingeringClose.closeWithoutLingering(channel, this::isIdle, this::becomeIdleIfNoCallIsOpen);
        }
    }

    /** Closes the connection at once. */
    void close() {
        ChannelFuture unused = channel.close();
    }

    /** Records that a response of that many bytes is being written. */
    void responseStarted(long bytes) {
        unreadBytes += bytes;
        unsentResponses++;
    }

    /** Records that a response has been written completely, or that its write has failed. */
    void responseEnded(long bytes) {
        unreadBytes -= bytes;
        unsentResponses--;
    }

    /** Returns the bytes of responses that are not completely written. */
    long unreadBytes() {
        return unreadBytes;
    }

    /** Returns the count of this client's ids in use. */
    ClientCallIds callIds() {
        return callIds;
    }

    /** Returns the channel; null before the connection is active. */
    Channel channel() {
        return channel;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOG.info("client connection failed", "client", ctx.channel().remoteAddress(), cause);
        ChannelFuture unused = ctx.close();
    }

    /** Cancels the open calls of the disconnected client. */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        clients.remove(this);
        receiveBudget.remove(this);
        receivedCalls.clear();
        new ArrayList<>(callsBySequenceNumber.values()).forEach(calls::cancel);
        callsBySequenceNumber.clear();
    }
}
