package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.util.function.Consumer;
import lineward.spool.ReadState;
import lineward.spool.ResultChunk;
import lineward.spool.SpoolReader;
import lineward.spool.SpooledResult;

/**
 * Rows of a spooled result as they are asked for: a read-only cursor, whose columns go out first and whose
 * rows as they are fetched, or one page of a result, columns and rows in one reply. No engine has a part in
 * it. One fetch at a time, as a client sends one command at a time.
 */
final class OpenCursor implements Outflow {
    private final Channel channel;
    private final Consumer<ByteBuf> out;
    private final SpoolReader reader;
    private final Ending ending;
    private boolean columnsSent;
    private boolean fetching;
    private boolean done;
    private boolean over;
    private boolean moving;
    private long rowsWanted;
    private final Dialect dialect;
    private final long firstRow;
    private final long pageRows;
    private int rowsToSkip;
    private int sequence;
    private byte[] rows = new byte[0];
    private int offset;

    /**
     * @param firstRow the first row to send, counted from 0; past 0 only in a complete result with a key
     * @param pageRows rows of the one reply that is asked for; negative: a cursor
     * @param ending is called when a fetch, or the opening of the cursor, has ended
     */
    OpenCursor(
            Channel channel,
            SpooledResult result,
            Dialect dialect,
            long firstRow,
            long pageRows,
            Consumer<ByteBuf> out,
            Ending ending) {
        this.dialect = dialect;
        this.firstRow = firstRow;
        this.pageRows = pageRows;
        this.channel = channel;
        this.out = out;
        this.ending = ending;
        this.reader = result.read(this::resume);
    }

    /** Returns whether the last row has gone out, which closes a cursor. */
    boolean isDone() {
        return done;
    }

    /** Asks for that many rows. */
    void fetch(long count) {
        rowsWanted = count;
        fetching = true;
        sequence = 1;
        resume();
    }

    @Override
    public void resume() {
        if (moving || over) {
            return;
        }
        moving = true;
        try {
            if (!columnsSent) {
                open();
            }
            if (fetching) {
                sendFetched();
            }
            if (reader.readState() == ReadState.EXPIRED) {
                end(ReadState.EXPIRED);
            }
        } finally {
            moving = false;
        }
    }

    private void open() {
        ResultChunk head = reader.poll();
        if (head == null) {
            if (reader.readState() != ReadState.MORE) {
                end(ReadState.BROKEN);
            }
            return;
        }
        byte[] columns = head.bytes();
        columnsSent = true;
        if (firstRow > 0) {
            rowsToSkip = reader.seek(firstRow);
            done = rowsToSkip < 0;
        }
        if (pageRows >= 0) {
            out.accept(dialect.columns(columns));
            rowsWanted = pageRows;
            fetching = true;
            sequence = dialect.behindColumns(columns);
        } else {
            out.accept(dialect.cursor(channel.alloc(), columns));
            ending.ended(ReadState.MORE, 0);
        }
    }

    private void sendFetched() {
        while (rowsWanted > 0 && !done && channel.isWritable()) {
            if (offset == rows.length && !nextBlock()) {
                return;
            }
            if (!done) {
                sendRows();
            }
        }
        if (rowsWanted == 0 || done) {
            finishFetch();
        }
    }

    private void finishFetch() {
        // The last row is announced as soon as it is known, which spares the client an empty fetch.
        if (!done && offset == rows.length && reader.readState() == ReadState.MORE) {
            nextBlock();
        }
        fetching = false;
        out.accept(dialect.end(channel.alloc(), sequence, endStatus()));
        done |= pageRows >= 0;
        if (done) {
            close();
        }
        ending.ended(done ? ReadState.END : ReadState.MORE, 0);
    }

    /** Returns the status behind the rows that were asked for. */
    private int endStatus() {
        if (pageRows >= 0) {
            return 0;
        }
        return done ? Packets.LAST_ROW_SENT : Packets.CURSOR_EXISTS;
    }

    /** Returns whether there is something to go on with: rows, or the knowledge that there are none left. */
    private boolean nextBlock() {
        ResultChunk piece = reader.poll();
        if (piece != null && piece.rows() > 0) {
            // Other readers see the same bytes: the numbers of this reply go into a copy.
            rows = piece.bytes().clone();
            offset = 0;
            return true;
        }
        // Behind the rows stands the packet that ends them.
        if (piece != null || reader.readState() == ReadState.END) {
            done = true;
            return true;
        }
        if (reader.readState() == ReadState.BROKEN) {
            end(ReadState.BROKEN);
        }
        return false;
    }

    /** Sends rows of the present block, as many as are wanted, under numbers of this reply. */
    private void sendRows() {
        int begin = offset;
        while (offset < rows.length && rowsWanted > 0) {
            boolean more = true;
            int number = sequence;
            while (more) {
                rows[offset + Packets.HEAD - 1] = (byte) sequence++;
                int length = Packets.length(rows, offset);
                offset += length;
                more = length == Packets.HEAD + Packets.LONGEST;
            }
            if (rowsToSkip > 0) {
                rowsToSkip--;
                sequence = number;
                begin = offset;
            } else {
                rowsWanted--;
            }
        }
        if (offset > begin) {
            out.accept(Unpooled.wrappedBuffer(rows, begin, offset - begin));
        }
    }

    private void end(ReadState how) {
        boolean waits = fetching || !columnsSent;
        close();
        done = true;
        fetching = false;
        // Between two fetches nobody waits: the next one finds no cursor.
        if (waits) {
            ending.ended(how, Math.max(1, sequence));
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
