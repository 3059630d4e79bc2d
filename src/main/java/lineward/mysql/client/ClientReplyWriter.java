package lineward.mysql.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.util.concurrent.Future;
import lineward.mysql.wire.ChannelOperations;
import lineward.mysql.wire.Packets;
import lineward.mysql.wire.ResultFormat;
import lineward.mysql.wire.SqlError;

/** Writes replies to one client, takes over their references, and counts those not flushed. */
final class ClientReplyWriter {
    /** Stands for the sequence number of a request if there is none: the reply then starts with number 0. */
    private static final int NO_REQUEST_SEQUENCE = -1;

    private final Channel channel;
    private ResultFormat dialect = ResultFormat.EOF_PACKETS;
    private int requestSequence;
    private int unflushedReplies;

    ClientReplyWriter(Channel channel) {
        this.channel = channel;
    }

    Channel channel() {
        return channel;
    }

    ByteBufAllocator alloc() {
        return channel.alloc();
    }

    ResultFormat dialect() {
        return dialect;
    }

    void setDialect(ResultFormat agreed) {
        dialect = agreed;
    }

    /** Sets the sequence number of the packet that the next replies answer. */
    void setRequestSequence(int sequence) {
        requestSequence = sequence;
    }

    /** Declares that the next packet answers no packet of the client, so that its sequence number is 0. */
    void beginUnsolicitedReply() {
        requestSequence = NO_REQUEST_SEQUENCE;
    }

    /** Returns the sequence number of the first packet of the next reply. */
    int nextSequence() {
        return requestSequence + 1;
    }

    /** Returns whether all replies have been written to the socket. */
    boolean isFlushed() {
        return unflushedReplies == 0;
    }

    void send(ByteBuf packets) {
        unflushedReplies++;
        channel.writeAndFlush(packets).addListener(this::writeEnded);
    }

    void sendOk() {
        send(Packets.ok(alloc(), nextSequence()));
    }

    void sendError(SqlError failure) {
        sendError(nextSequence(), failure);
    }

    void sendError(int sequence, SqlError failure) {
        send(Packets.error(alloc(), sequence, failure));
    }

    /** Sends an error and closes the connection once it is written. */
    void sendErrorAndClose(SqlError failure) {
        ByteBuf error = Packets.error(alloc(), nextSequence(), failure);
        unflushedReplies++;
        channel.writeAndFlush(error).addListener(this::writeEnded).addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes the connection without waiting for unflushed replies. */
    void close() {
        ChannelOperations.close(channel);
    }

    private void writeEnded(Future<?> written) {
        unflushedReplies--;
    }
}
