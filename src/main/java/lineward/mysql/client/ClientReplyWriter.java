package lineward.mysql.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.util.concurrent.Future;
import lineward.frontend.SendBudget;
import lineward.mysql.wire.ChannelOperations;
import lineward.mysql.wire.Packets;
import lineward.mysql.wire.ResultFormat;
import lineward.mysql.wire.SqlError;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes replies to one client, takes over their references, and counts those not flushed. A reply of which a
 * part can't be written closes the connection, as the client could not tell that the part is missing.
 */
final class ClientReplyWriter implements SendBudget.Connection {
    private static final Logger LOG = LoggerFactory.getLogger(ClientReplyWriter.class);
    /** Stands for the sequence number of a request if there is none: the reply then starts with number 0. */
    private static final int NO_REQUEST_SEQUENCE = -1;

    private final Channel channel;
    private final SendBudget sendBudget;
    /** Continues the reply that is sent in parts. */
    private final Runnable resumeReply;

    private ResultFormat dialect = ResultFormat.EOF_PACKETS;
    private int requestSequence;
    private int unflushedReplies;

    /** @param resumeReply continues the reply that is sent in parts, if there is one */
    ClientReplyWriter(Channel channel, SendBudget sendBudget, Runnable resumeReply) {
        this.channel = channel;
        this.sendBudget = sendBudget;
        this.resumeReply = resumeReply;
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

    /** Returns whether a command may be processed, because the client reads its replies. */
    boolean acceptsCommand() {
        return channel.isWritable() && sendBudget.acceptsCommand(this);
    }

    /** Returns whether the next part of a reply may be sent; if not, the reply is resumed later. */
    boolean acceptsPart() {
        return channel.isWritable() && sendBudget.acceptsPart(this);
    }

    void send(ByteBuf packets) {
        ChannelFuture unused = write(packets);
    }

    private ChannelFuture write(ByteBuf packets) {
        int bytes = packets.readableBytes();
        unflushedReplies++;
        sendBudget.started(this, bytes);
        return channel.writeAndFlush(packets).addListener(written -> writeEnded(bytes, written));
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
        write(Packets.error(alloc(), nextSequence(), failure)).addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes the connection without waiting for unflushed replies. */
    void close() {
        ChannelOperations.close(channel);
    }

    private void writeEnded(int bytes, Future<?> written) {
        unflushedReplies--;
        sendBudget.ended(this, bytes);
        if (!written.isSuccess() && channel.isOpen()) {
            LOG.warn(
                    "reply not written, connection closed: bytes={} cause={}",
                    bytes,
                    written.cause().toString());
            close();
        }
    }

    @Override
    public long pendingBytes() {
        ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
        return outbound == null ? 0 : outbound.totalPendingWriteBytes();
    }

    @Override
    public void resume() {
        resumeReply.run();
    }

    @Override
    public void evict() {
        LOG.info("client connection closed: address={} cause=reads no replies", channel.remoteAddress());
        close();
    }

    /** Records that the connection was closed. */
    void closed() {
        sendBudget.remove(this);
    }
}
