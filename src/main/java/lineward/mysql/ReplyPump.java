package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.function.Consumer;
import lineward.spool.SpooledResult;

/** Sends a spooled reply to a client as fast as the client reads it. */
final class ReplyPump implements Outflow {
    private final Channel channel;
    private final Consumer<ByteBuf> out;
    private final SpooledResult.Reader reader;
    private final Ending ending;
    private final Dialect dialect;
    private byte[] last;
    private boolean inRows;
    private boolean moving;
    private boolean over;

    /**
     * @param out sends whole packets
     * @param ending hears once that nothing more goes out
     */
    ReplyPump(Channel channel, SpooledResult result, Dialect dialect, Consumer<ByteBuf> out, Ending ending) {
        this.dialect = dialect;
        this.channel = channel;
        this.out = out;
        this.ending = ending;
        this.reader = result.read(this::move);
    }

    @Override
    public void move() {
        // Reading makes the result tell its readers, of which this is one.
        if (moving || over) {
            return;
        }
        moving = true;
        SpooledResult.Piece piece = null;
        while (channel.isWritable()) {
            piece = reader.poll();
            if (piece == null) {
                break;
            }
            last = piece.bytes();
            out.accept(
                    piece.rows() > 0
                            ? dialect.rows(last)
                            : inRows ? dialect.tail(channel.alloc(), last) : dialect.columns(last));
            inRows = true;
        }
        moving = false;
        SpooledResult.Ahead ahead = reader.ahead();
        if (ahead == SpooledResult.Ahead.LAPSED
                || piece == null && ahead == SpooledResult.Ahead.END
                || piece == null && ahead == SpooledResult.Ahead.BROKEN && channel.isWritable()) {
            close();
            ending.over(ahead, last == null ? 1 : dialect.behindColumns(last));
        }
    }

    /** Returns the number of the packet behind these. */
    static int sequenceBehind(byte[] packets) {
        int at = 0;
        int sequence = 0;
        while (at < packets.length) {
            sequence = packets[at + Packets.HEAD - 1] & 0xff;
            at += Packets.length(packets, at);
        }
        return sequence + 1;
    }

    @Override
    public void close() {
        if (!over) {
            over = true;
            reader.close();
        }
    }
}
