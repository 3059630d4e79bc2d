package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.util.concurrent.Future;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes replies to one client and counts those that are not yet on their way. Takes over each buffer it is
 * given.
 */
final class ReplyWriter {
    private static final Logger LOG = LoggerFactory.getLogger(ReplyWriter.class);
    /** The sequence number before the first: a packet that answers nothing begins the count anew. */
    private static final int BEFORE_FIRST = -1;

    private final Channel channel;
    private Dialect dialect = Dialect.PLAIN;
    private int requestSequence;
    private int unsentReplies;

    ReplyWriter(Channel channel) {
        this.channel = channel;
    }

    Channel channel() {
        return channel;
    }

    ByteBufAllocator alloc() {
        return channel.alloc();
    }

    Dialect dialect() {
        return dialect;
    }

    void setDialect(Dialect agreed) {
        dialect = agreed;
    }

    /** The replies that follow answer the packet with this sequence number. */
    void answerTo(int sequence) {
        requestSequence = sequence;
    }

    /** The reply that follows answers no packet of the client. */
    void answerUnprompted() {
        requestSequence = BEFORE_FIRST;
    }

    /** Returns the sequence number of the first packet of the reply. */
    int nextSequence() {
        return requestSequence + 1;
    }

    /** Returns whether every reply has been handed to the operating system. */
    boolean isFlushed() {
        return unsentReplies == 0;
    }

    void send(ByteBuf packets) {
        unsentReplies++;
        channel.writeAndFlush(packets).addListener(this::countWritten);
    }

    void sendOk() {
        send(Packets.ok(alloc(), nextSequence()));
    }

    void sendError(Failure failure) {
        sendError(nextSequence(), failure);
    }

    void sendError(int sequence, Failure failure) {
        send(Packets.error(alloc(), sequence, failure));
    }

    /** Sends an error and closes the connection behind it. */
    void sendLast(Failure failure) {
        ByteBuf error = Packets.error(alloc(), nextSequence(), failure);
        unsentReplies++;
        channel.writeAndFlush(error).addListener(this::countWritten).addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes the connection without waiting for replies that are under way. */
    void close() {
        channel.close().addListener(closed -> LOG.debug("client connection closed channel={}", channel));
    }

    private void countWritten(Future<?> written) {
        unsentReplies--;
    }
}
