package lineward.mysql.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.util.concurrent.Future;
import lineward.mysql.wire.ChannelOperations;
import lineward.mysql.wire.Dialect;
import lineward.mysql.wire.Failure;
import lineward.mysql.wire.Packets;

/** Writes replies to one client and takes over their references; counts the replies that are not flushed. */
final class ReplyWriter {
    /** The sequence number before the first one of an unsolicited packet. */
    private static final int BEFORE_FIRST = -1;

    private final Channel channel;
    private Dialect dialect = Dialect.EOF_PACKETS;
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

    /** The next replies answer the packet with this sequence number. */
    void answerTo(int sequence) {
        requestSequence = sequence;
    }

    /** The next reply answers no packet of the client. */
    void beginUnsolicited() {
        requestSequence = BEFORE_FIRST;
    }

    /** Returns the sequence number of the first packet of the reply. */
    int nextSequence() {
        return requestSequence + 1;
    }

    /** Returns whether all replies have been written to the socket. */
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

    /** Sends an error, then closes the connection. */
    void sendLast(Failure failure) {
        ByteBuf error = Packets.error(alloc(), nextSequence(), failure);
        unsentReplies++;
        channel.writeAndFlush(error).addListener(this::countWritten).addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes the connection without waiting for unflushed replies. */
    void close() {
        ChannelOperations.close(channel);
    }

    private void countWritten(Future<?> written) {
        unsentReplies--;
    }
}
