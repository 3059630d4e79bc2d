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

/** One client's connection: takes its messages apart, and keeps the calls that it still owes a response. */
final class ClientHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOGGER = LoggerFactory.getLogger(ClientHandler.class);
    private static final RateLimitedLog LOG = new RateLimitedLog(LOGGER);
    /** Calls that a connection carries at once, those with a response on its way to the client included. */
    private static final int MAX_OPEN_CALLS = 32;
    /** Advice to a client whose call finds this front end full. */
    private static final long RETRY_AFTER_MS = 500;

    private final ClientRegistry<ClientHandler> clients;
    private final OpenCalls calls;
    private final ResponseSender responses;
    private final FrameDecoder frameDecoder;
    private final Map<Integer, Call> openCalls = new HashMap<>();
    private Channel channel;
    private long unreadBytes;
    /** Responses of which the socket has not taken the last byte: their calls are open to the client. */
    private int unsentResponses;

    private boolean receivedMessage;
    private int lastSequenceNumber;

    /** @param frameDecoder brings this handler its frames */
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
        // Frames may follow the one that made this end close the connection.
        if (!ctx.channel().isActive()) {
            return;
        }
        receivedMessage = true;
        // A client that sends and reads nothing would fill the memory; reading on shows when it closes.
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
                markIdleUnlessWaiting();
                send(ThriftWriter.pong(channel.alloc(), sequenceNumber, calls.acceptsClients()));
            }
            default -> {
                markIdleUnlessWaiting();
                send(ThriftWriter.unknownMethod(channel.alloc(), header.method(), sequenceNumber));
            }
        }
    }

    /** A response may cross the abort of its call; the abort of a call that was never made is malformed. */
    private void abort(OptionalInt sequenceNumber) {
        if (sequenceNumber.isEmpty() || sequenceNumber.getAsInt() > lastSequenceNumber) {
            throw new DecoderException("abort of a request that was never made");
        }
        Call call = openCalls.remove(sequenceNumber.getAsInt());
        if (call != null) {
            calls.cancel(call);
            markIdleUnlessWaiting();
        }
    }

    private void invoke(int sequenceNumber, ThriftReader.Invocation invocation) {
        requireWithinLimits(sequenceNumber);
        markIdleUnlessWaiting();
        CallFields fields;
        try {
            fields = calls.validate(invocation);
        } catch (InvalidCallException e) {
            calls.recordUnusable(invocation);
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
        // Two calls of one number can't be told apart, so the client does not keep to the protocol.
        if (sequenceNumber <= lastSequenceNumber) {
            throw new DecoderException("sequence number " + sequenceNumber + " does not rise");
        }
        lastSequenceNumber = sequenceNumber;
        if (openCalls.size() + unsentResponses >= MAX_OPEN_CALLS) {
            throw new DecoderException("more than " + MAX_OPEN_CALLS + " open requests");
        }
    }

    private void markIdleUnlessWaiting() {
        if (openCalls.isEmpty()) {
            clients.becameIdle(this);
        }
    }

    /** Sends a call's only response, which is released unless the client still waits for it. */
    void respond(Call call, ByteBuf response) {
        if (openCalls.remove(call.sequenceNumber(), call)) {
            send(response);
            markIdleUnlessWaiting();
        } else {
            response.release();
        }
    }

    private void send(ByteBuf frame) {
        responses.send(this, frame);
    }

    /** Returns whether part of a frame has been waiting for its rest for more than that many nanoseconds. */
    boolean isStalled(long nanos) {
        return frameDecoder.isStalled(nanos);
    }

    /** Returns whether no call is open or on its way here, and every response has been sent. */
    boolean isIdle() {
        return openCalls.isEmpty() && unsentResponses == 0 && !frameDecoder.hasPartialFrame();
    }

    /** Closes the connection after what is on its way, unless a call comes first. */
    void closeGracefully() {
        if (receivedMessage) {
            LingeringClose.begin(channel, this::isIdle, this::markIdleUnlessWaiting);
        } else {
            LingeringClose.closeSilent(channel, this::isIdle, this::markIdleUnlessWaiting);
        }
    }

    /** Closes the connection at once. */
    void close() {
        ChannelFuture unused = channel.close();
    }

    /** A response of that many bytes goes out. */
    void responseStarted(long bytes) {
        unreadBytes += bytes;
        unsentResponses++;
    }

    /** The socket has taken all of a response, or never will. */
    void responseEnded(long bytes) {
        unreadBytes -= bytes;
        unsentResponses--;
    }

    /** Returns the bytes of responses that the socket has not taken yet. */
    long unreadBytes() {
        return unreadBytes;
    }

    Channel channel() {
        return channel;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOG.info("closed the connection of client", ctx.channel().remoteAddress(), cause);
        ChannelFuture unused = ctx.close();
    }

    /** A client that has hung up waits for no response. */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        clients.disconnected(this);
        new ArrayList<>(openCalls.values()).forEach(calls::cancel);
        openCalls.clear();
    }
}
