package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.function.Consumer;
import lineward.spool.ReadState;
import lineward.spool.ResultChunk;
import lineward.spool.SpoolReader;
import lineward.spool.SpooledResult;

/** Sends a spooled reply to a client as fast as the client reads it. */
final class ReplyPump implements Outflow {
    private final Channel channel;
    private final Consumer<ByteBuf> sink;
    private final SpoolReader reader;
    private final Ending ending;
    private final Dialect dialect;
    /** The packets sent last; null before the first. */
    private byte[] lastPackets;

    private boolean columnsSent;
    private boolean sending;
    private boolean closed;

    /**
     * A reply of which nothing has been sent.
     *
     * @param sink sends complete packets
     * @param ending is notified once that nothing more is sent
     */
    ReplyPump(Channel channel, SpooledResult result, Dialect dialect, Consumer<ByteBuf> sink, Ending ending) {
        this.dialect = dialect;
        this.channel = channel;
        this.sink = sink;
        this.ending = ending;
        this.reader = result.read(this::resume);
    }

    @Override
    public void resume() {
        // Reading makes the result notify its readers, of which this is one.
        if (sending || closed) {
            return;
        }
        sending = true;
        boolean noPieceLeft = sendWhileWritable();
        sending = false;
        ReadState ahead = reader.readState();
        if (isEnd(ahead, noPieceLeft)) {
            close();
            ending.ended(ahead, lastPackets == null ? 1 : dialect.behindColumns(lastPackets));
        }
    }

    /** Returns whether the result had no further piece, or the channel was not writable to begin with. */
    private boolean sendWhileWritable() {
        ResultChunk piece = null;
        while (channel.isWritable()) {
            piece = reader.poll();
            if (piece == null) {
                break;
            }
            lastPackets = piece.bytes();
            sink.accept(encode(piece));
            columnsSent = true;
        }
        return piece == null;
    }

    private ByteBuf encode(ResultChunk piece) {
        if (piece.rows() > 0) {
            return dialect.rows(piece.bytes());
        }
        return columnsSent ? dialect.tail(channel.alloc(), piece.bytes()) : dialect.columns(piece.bytes());
    }

    /** Returns whether nothing more is sent. A broken result is reported once the error can be sent too. */
    private boolean isEnd(ReadState ahead, boolean noPieceLeft) {
        return switch (ahead) {
            case EXPIRED -> true;
            case END -> noPieceLeft;
            case BROKEN -> noPieceLeft && channel.isWritable();
            default -> false;
        };
    }

    /** Returns the sequence number of the packet behind these. */
    static int sequenceBehind(byte[] packets) {
        int offset = 0;
        int sequence = 0;
        while (offset < packets.length) {
            sequence = packets[offset + Packets.HEAD - 1] & 0xff;
            offset += Packets.length(packets, offset);
        }
        return sequence + 1;
    }

    @Override
    public void close() {
        if (!closed) {
            closed = true;
            reader.close();
        }
    }
}
