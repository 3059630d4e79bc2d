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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One client's connection: decodes its messages and holds the calls that await a response. Runs on its
 * channel's event loop.
 */
final class ClientHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOGGER = LoggerFactory.getLogger(ClientHandler.class);
    private static final RateLimitedLog LOG = new RateLimitedLog(LOGGER);
    /** Maximum of calls open on a connection, including those whose response is being written. */
    private static final int MAX_OPEN_CALLS = 32;
    /** Retry-After of a call that is rejected because this front end is full. */
    private static final long RETRY_AFTER_MS = 500;

    private final ClientRegistry<ClientHandler> clients;
    private final OpenCalls calls;
    private final ResponseSender responses;
    private final FrameDecoder frameDecoder;
    private final Map<Integer, Call> openCalls = new HashMap<>();
    private Channel channel;
    private long unreadBytes;
    /** Responses whose last byte the socket has not taken. The client still regards their calls as open. */
    private int unsentResponses;

    private boolean receivedMessage;
    private int lastSequenceNumber;

    /** @param frameDecoder the decoder before this handler in the pipeline */
    ClientHandler(
            ClientRegistry<ClientHandler> clients,
            OpenCalls calls,
            ResponseSender responses,
            FrameDecoder frameDecoder) {
        this.clients = clients;
        this.calls = calls;
        this.responses = responses;
        this.frameDecoder = frameDecoder;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        clients.connected(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        // The same read may deliver frames after the one on which this handler closed the connection.
        if (!ctx.channel().isActive()) {
            return;
        }
        receivedMessage = true;
        // A client that sends but does not read would fill the memory.
        if (unsentResponses >= MAX_OPEN_CALLS) {
            throw new DecoderException("more than " + MAX_OPEN_CALLS + " responses not read");
        }
        ThriftReader.Header header = ThriftReader.readHeader(frame);
        if (header.isAbort()) {
            abort(ThriftReader.readAbortedSequenceNumber(frame));
        } else if (header.isCall()) {
            call(header, frame);
        } else {
            throw new DecoderException("message of kind " + header.kind() + " for " + header.method());
        }
    }

    private void call(ThriftReader.Header header, ByteBuf frame) {
        int sequenceNumber = header.sequenceNumber();
        switch (header.method()) {
            case ThriftProtocol.INVOKE -> invoke(sequenceNumber, ThriftReader.readInvocation(frame));
            case ThriftProtocol.PING -> {
                becomeIdleIfNoCallIsOpen();
                send(ThriftWriter.pong(channel.alloc(), sequenceNumber, calls.acceptsClients()));
            }
            default -> {
                becomeIdleIfNoCallIsOpen();
                send(ThriftWriter.unknownMethod(channel.alloc(), header.method(), sequenceNumber));
            }
        }
    }

    /** Ignores the abort of a completed call. The abort of a call that was never made is malformed. */
    private void abort(OptionalInt sequenceNumber) {
        if (sequenceNumber.isEmpty() || sequenceNumber.getAsInt() > lastSequenceNumber) {
            throw new DecoderException("abort of a request that was never made");
        }
        Call call = openCalls.remove(sequenceNumber.getAsInt());
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
        if (!calls.admit(call)) {
            send(ThriftWriter.overloaded(channel.alloc(), sequenceNumber, RETRY_AFTER_MS));
            return;
        }
        openCalls.put(sequenceNumber, call);
        clients.becameWaiting(this);
    }

    private void requireWithinLimits(int sequenceNumber) {
        // A client that reuses a number violates the protocol, as the responses would be ambiguous.
        if (sequenceNumber <= lastSequenceNumber) {
            throw new DecoderException("sequence number " + sequenceNumber + " does not rise");
        }
        lastSequenceNumber = sequenceNumber;
        if (openCalls.size() + unsentResponses >= MAX_OPEN_CALLS) {
            throw new DecoderException("more than " + MAX_OPEN_CALLS + " open requests");
        }
    }

    private void becomeIdleIfNoCallIsOpen() {
        if (openCalls.isEmpty()) {
            clients.becameIdle(this);
        }
    }

    /** Sends a call's only response, or releases it if the client no longer waits for it. */
    void respond(Call call, ByteBuf response) {
        if (openCalls.remove(call.sequenceNumber(), call)) {
            send(response);
            becomeIdleIfNoCallIsOpen();
        } else {
            response.release();
        }
    }

    private void send(ByteBuf frame) {
        responses.send(this, frame);
    }

    /** Returns whether a frame has been incomplete for more than that many nanoseconds. */
    boolean isStalled(long nanos) {
        return frameDecoder.isStalled(nanos);
    }

    /** Returns whether no call is open or partly received, and every response has been written. */
    boolean isIdle() {
        return openCalls.isEmpty() && unsentResponses == 0 && !frameDecoder.hasPartialFrame();
    }

    /** Closes the connection once the responses are written, unless a call arrives first. */
    void closeGracefully() {
        if (receivedMessage) {
            LingeringClose.begin(channel, this::isIdle, this::becomeIdleIfNoCallIsOpen);
        } else {
            LingeringClose.closeSilent(channel, this::isIdle, this::becomeIdleIfNoCallIsOpen);
        }
    }

    /** Closes the connection at once. */
    void close() {
        ChannelFuture unused = channel.close();
    }

    /** A response of that many bytes is being written. */
    void responseStarted(long bytes) {
        unreadBytes += bytes;
        unsentResponses++;
    }

    /** The socket has taken the last byte of a response, or the write has failed. */
    void responseEnded(long bytes) {
        unreadBytes -= bytes;
        unsentResponses--;
    }

    /** Returns the bytes of responses that the socket has not taken. */
    long unreadBytes() {
        return unreadBytes;
    }

    /** Returns the channel; null before the connection is active. */
    Channel channel() {
        return channel;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOG.info("client connection closed", "client", ctx.channel().remoteAddress(), cause);
        ChannelFuture unused = ctx.close();
    }

    /** Cancels the open calls, as their client has disconnected. */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        clients.disconnected(this);
        new ArrayList<>(openCalls.values()).forEach(calls::cancel);
        openCalls.clear();
    }
}
