package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.util.function.Consumer;
import lineward.spool.SpooledResult;

/**
 * Rows of a spooled result as they are asked for: a read-only cursor, whose columns go out first and whose
 * rows as they are fetched, or one page of a result, columns and rows in one reply. The engine has no part in
 * it. One fetch at a time, as a client sends one command at a time.
 */
final class OpenCursor implements Outflow {
    private final Channel channel;
    private final Consumer<ByteBuf> out;
    private final SpooledResult.Reader reader;
    private final Ending ending;
    private boolean columnsSent;
    private boolean fetching;
    private boolean done;
    private boolean over;
    private boolean moving;
    private long wanted;
    private final Dialect dialect;
    private final long from;
    private final long page;
    private int skip;
    private int sequence;
    private byte[] rows = new byte[0];
    private int at;

    /**
     * @param from the first row that is fetched, counted from 0; past 0 only in a whole result with a key
     * @param page rows of the one reply that is wanted; negative: a cursor
     * @param ending hears that a fetch, or the cursor's opening, is over; more may follow while it ended well
     */
    OpenCursor(
            Channel channel,
            SpooledResult result,
            Dialect dialect,
            long from,
            long page,
            Consumer<ByteBuf> out,
            Ending ending) {
        this.dialect = dialect;
        this.from = from;
        this.page = page;
        this.channel = channel;
        this.out = out;
        this.ending = ending;
        this.reader = result.read(this::move);
    }

    /** Returns whether the last row has gone out, which closes a cursor. */
    boolean isDone() {
        return done;
    }

    /** Asks for that many rows. */
    void fetch(long count) {
        wanted = count;
        fetching = true;
        sequence = 1;
        move();
    }

    @Override
    public void move() {
        if (moving || over) {
            return;
        }
        moving = true;
        try {
            if (!columnsSent) {
                open();
            }
            if (fetching) {
                send();
            }
            if (reader.ahead() == SpooledResult.Ahead.LAPSED) {
                end(SpooledResult.Ahead.LAPSED);
            }
        } finally {
            moving = false;
        }
    }

    private void open() {
        SpooledResult.Piece head = reader.poll();
        if (head == null) {
            if (reader.ahead() != SpooledResult.Ahead.MORE) {
                end(SpooledResult.Ahead.BROKEN);
            }
            return;
        }
        byte[] columns = head.bytes();
        columnsSent = true;
        if (from > 0) {
            skip = reader.seek(from);
            done = skip < 0;
        }
        if (page >= 0) {
            out.accept(dialect.columns(columns));
            wanted = page;
            fetching = true;
            sequence = dialect.behindColumns(columns);
        } else {
            out.accept(dialect.cursor(channel.alloc(), columns));
            ending.over(SpooledResult.Ahead.MORE, 0);
        }
    }

    private void send() {
        while (wanted > 0 && !done && channel.isWritable()) {
            if (at == rows.length && !nextBlock()) {
                return;
            }
            if (!done) {
                some();
            }
        }
        if (wanted == 0 || done) {
            // Told at once where it is known, so that a client spares itself a fetch of nothing.
            if (!done && at == rows.length && reader.ahead() == SpooledResult.Ahead.MORE) {
                nextBlock();
            }
            fetching = false;
            out.accept(dialect.end(
                    channel.alloc(), sequence, page >= 0 ? 0 : done ? Packets.LAST_ROW_SENT : Packets.CURSOR_EXISTS));
            done |= page >= 0;
            if (done) {
                close();
            }
            ending.over(done ? SpooledResult.Ahead.END : SpooledResult.Ahead.MORE, 0);
        }
    }

    /** Returns whether there is something to go on with: rows, or the knowledge that there are none left. */
    private boolean nextBlock() {
        SpooledResult.Piece piece = reader.poll();
        if (piece != null && piece.rows() > 0) {
            // Other readers see the same bytes: the numbers of this reply go into a copy.
            rows = piece.bytes().clone();
            at = 0;
            return true;
        }
        // Behind the rows stands the packet that ends them.
        if (piece != null || reader.ahead() == SpooledResult.Ahead.END) {
            done = true;
            return true;
        }
        if (reader.ahead() == SpooledResult.Ahead.BROKEN) {
            end(SpooledResult.Ahead.BROKEN);
        }
        return false;
    }

    /** Sends rows of the present block, as many as are wanted, under numbers of this reply. */
    private void some() {
        int begin = at;
        while (at < rows.length && wanted > 0) {
            boolean more = true;
            int number = sequence;
            while (more) {
                rows[at + Packets.HEAD - 1] = (byte) sequence++;
                int length = Packets.length(rows, at);
                at += length;
                more = length == Packets.HEAD + Packets.LONGEST;
            }
            if (skip > 0) {
                skip--;
                sequence = number;
                begin = at;
            } else {
                wanted--;
            }
        }
        if (at > begin) {
            out.accept(Unpooled.wrappedBuffer(rows, begin, at - begin));
        }
    }

    private void end(SpooledResult.Ahead how) {
        boolean waits = fetching || !columnsSent;
        close();
        done = true;
        fetching = false;
        // Between two fetches nobody waits: the next one finds no cursor.
        if (waits) {
            ending.over(how, Math.max(1, sequence));
        }
    }

    @Override
    public void close() {
        if (!over) {
            over = true;
            reader.close();
        }
    }
}
