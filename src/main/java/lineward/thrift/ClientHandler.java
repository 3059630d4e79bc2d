package lineward.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import lineward.frontend.LingeringClose;
import lineward.frontend.RateLimitedLog;
import org.slf4j.LoggerFactory;

/** The forwarder of one client's connection: takes out the fields that decisions need, passes on the rest. */
final class ClientHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private static final RateLimitedLog LOG = new RateLimitedLog(LoggerFactory.getLogger(ClientHandler.class));
    /** Open requests that a connection carries. */
    private static final int MOST_OPEN = 32;

    private final ThriftServer front;
    private final FrameDecoder decoder;
    private final Map<Integer, Call> open = new HashMap<>();
    private Channel channel;
    private long unread;
    /** Answers of which the socket has not taken the last byte: their requests are open to the client. */
    private int unsent;

    private boolean spoke;
    private int lastSeqid;

    /** @param decoder brings this handler its frames */
    ClientHandler(ThriftServer front, FrameDecoder decoder) {
        this.front = front;
        this.decoder = decoder;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        front.connected(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        // Frames that came with the one that made us close are nobody's any more.
        if (!ctx.channel().isActive()) {
            return;
        }
        spoke = true;
        // Danger: who asks on and reads nothing would fill the memory; his close must be heard all the same.
        if (unsent >= MOST_OPEN) {
            throw new DecoderException("more than " + MOST_OPEN + " answers not read");
        }
        ThriftReader.Head head = ThriftReader.head(frame);
        if (head.kind() == ThriftReader.ONEWAY && head.method().equals("abort")) {
            abort(ThriftReader.number(frame));
        } else if (head.kind() != ThriftReader.CALL) {
            throw new DecoderException("message of kind " + head.kind() + " for " + head.method());
        } else if (head.method().equals("invoke")) {
            invoke(head.seqid(), ThriftReader.invocation(frame));
        } else if (head.method().equals("ping")) {
            rest();
            send(ThriftWriter.pong(ctx.alloc(), head.seqid(), front.wantsClients()));
        } else {
            rest();
            send(ThriftWriter.exception(
                    ctx.alloc(), head.method(), head.seqid(), ThriftWriter.UNKNOWN_METHOD, "no such method"));
        }
    }

    /** An answer may cross the word that takes its request back; a number never given can't be taken back. */
    private void abort(Integer seqid) {
        if (seqid == null || seqid > lastSeqid) {
            throw new DecoderException("request " + seqid + " was never made");
        }
        Call call = open.remove(seqid);
        if (call != null) {
            front.abort(call);
            rest();
        }
    }

    private void invoke(int seqid, ThriftReader.Invocation asked) {
        // Two requests of one number can't be told apart: the connection is not what it should be.
        if (seqid <= lastSeqid) {
            throw new DecoderException("sequence number " + seqid + " does not rise");
        }
        lastSeqid = seqid;
        if (open.size() + unsent >= MOST_OPEN) {
            throw new DecoderException("more than " + MOST_OPEN + " open requests");
        }
        rest();
        CallFields fields;
        try {
            if (asked.body() == null) {
                throw new IllegalArgumentException("no statement");
            }
            fields = front.read(asked.fields(), asked.body().toString(StandardCharsets.UTF_8));
        } catch (IllegalArgumentException e) {
            front.unusable(asked.fields().get("op"));
            send(ThriftWriter.exception(channel.alloc(), "invoke", seqid, ThriftWriter.PROTOCOL_ERROR, e.getMessage()));
            return;
        }
        Call call = new Call(this, seqid, fields, asked.body());
        if (!front.take(call)) {
            send(ThriftWriter.overloaded(channel.alloc(), seqid, front.busyPushbackMs()));
            return;
        }
        open.put(seqid, call);
        front.waits(this);
    }

    private void rest() {
        if (open.isEmpty()) {
            front.rests(this);
        }
    }

    /** Every answer to a request passes here once; the request is over for this connection with it. */
    void answer(Call call, ByteBuf frame) {
        if (open.remove(call.seqid, call)) {
            send(frame);
            rest();
        } else {
            frame.release();
        }
    }

    private void send(ByteBuf frame) {
        front.write(this, frame);
    }

    /** Returns whether it has sent half a frame and, for that long, not the rest. */
    boolean isStuck(long nanos) {
        return decoder.isStuck(nanos);
    }

    /** Returns whether nothing is open or on its way here and all that was answered has been sent. */
    boolean isIdle() {
        return open.isEmpty() && unsent == 0 && !decoder.holdsPart();
    }

    /** Ends the connection in order, unless a request comes first. */
    void leave() {
        if (spoke) {
            LingeringClose.begin(channel, this::isIdle, this::rest);
        } else {
            LingeringClose.closeSilent(channel, this::isIdle, this::rest);
        }
    }

    /** An answer goes out. */
    void sending(long bytes) {
        unread += bytes;
        unsent++;
    }

    /** The socket has taken an answer whole, or never will. */
    void sent(long bytes) {
        unread -= bytes;
        unsent--;
    }

    /** Returns bytes of answers that have not gone out yet. */
    long unread() {
        return unread;
    }

    Channel channel() {
        return channel;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOG.info("closed the connection of client", ctx.channel().remoteAddress(), cause);
        ctx.close();
    }

    /** Who has hung up waits for nothing. */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        front.disconnected(this);
        new ArrayList<>(open.values()).forEach(front::abort);
        open.clear();
    }
}
