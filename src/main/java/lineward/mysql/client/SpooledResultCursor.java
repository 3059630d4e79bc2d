package lineward.mysql.client;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import lineward.mysql.session.StatementCursor;
import lineward.mysql.wire.Packets;
import lineward.mysql.wire.ResultFormat;
import lineward.spool.ReadStatus;
import lineward.spool.ResultChunk;
import lineward.spool.SpoolReader;
import lineward.spool.SpooledResult;

/**
 * Sends a range of a spooled result: either as a read-only cursor, which sends the columns first and rows
 * when the client fetches them, or as a page, which sends the columns and rows as a single reply.
 */
final class SpooledResultCursor implements StatementCursor {
    /**
     * The part of the result that the client requests.
     *
     * @param firstRow index of the first row, from 0; above 0 only for a complete result with a key
     * @param maxRows maximum number of rows of a page; empty for a cursor
     */
    record Range(long firstRow, OptionalLong maxRows) {
        private boolean isPage() {
            return maxRows.isPresent();
        }
    }

    private static final int SEQUENCE_OFFSET = Packets.HEADER_BYTES - 1;
    private static final byte[] EMPTY_BLOCK = {};

    private final ByteBufAllocator alloc;
    private final ResultFormat dialect;
    private final Range range;
    private final ClientReplyWriter replies;
    private final StreamEndListener listener;
    private final SpoolReader reader;
    private CursorState state = CursorState.OPENING;
    /** Prevents recursion: reading the result notifies all its readers, including this one. */
    private boolean sending;

    private long rowsToSend;
    /** Number of rows before the range that remain to be skipped in the current block. */
    private int rowsToSkip;
    /** Sequence number of the next packet. */
    private int nextSequence;
    /** A copy of the current block, in which the packets are renumbered for this reply. */
    private byte[] currentBlock = EMPTY_BLOCK;
    /** Offset of the next row in the current block. */
    private int nextRowOffset;

    /**
     * Creates a cursor that has sent nothing.
     *
     * @param replies sends complete packets
     * @param listener is notified when the opening of the cursor or a fetch has ended
     */
    SpooledResultCursor(
            ByteBufAllocator alloc,
            SpooledResult result,
            ResultFormat dialect,
            Range range,
            ClientReplyWriter replies,
            StreamEndListener listener) {
        this.alloc = alloc;
        this.dialect = dialect;
        this.range = range;
        this.replies = replies;
        this.listener = listener;
        this.reader = result.openReader(this::resume);
    }

    private void transition(CursorState.Event event) {
        state = state.after(event);
    }

    @Override
    public boolean isDone() {
        return state.isDone();
    }

    @Override
    public void fetch(long maxRows) {
        startFetch(maxRows, 1);
        resume();
    }

    private void startFetch(long maxRows, int firstSequence) {
        transition(CursorState.Event.FETCH_REQUESTED);
        rowsToSend = maxRows;
        nextSequence = firstSequence;
    }

    @Override
    public void resume() {
        if (sending || state == CursorState.CLOSED) {
            return;
        }
        sending = true;
        try {
            if (state == CursorState.OPENING) {
                open();
            }
            if (state.isFetching()) {
                sendRequestedRows();
            }
            if (reader.readStatus() == ReadStatus.EXPIRED) {
                abort(ReadStatus.EXPIRED);
            }
        } finally {
            sending = false;
        }
    }

    private void open() {
        ResultChunk head = reader.poll();
        if (head == null) {
            if (reader.readStatus() != ReadStatus.MORE) {
                abort(ReadStatus.FAILED);
            }
            return;
        }
        byte[] columns = head.bytes();
        transition(CursorState.Event.COLUMNS_SENT);
        if (range.firstRow() > 0) {
            seekFirstRow();
        }
        if (range.isPage()) {
            replies.send(dialect.convertColumns(columns));
            startFetch(range.maxRows().getAsLong(), dialect.sequenceAfter(columns));
        } else {
            replies.send(dialect.convertCursorColumns(alloc, columns));
            listener.ended(ReadStatus.MORE, OptionalInt.empty());
        }
    }

    private void seekFirstRow() {
        int precedingRows = reader.seek(range.firstRow());
        if (precedingRows == SpoolReader.ROW_NOT_FOUND) {
            transition(CursorState.Event.NO_ROWS_LEFT);
        } else {
            rowsToSkip = precedingRows;
        }
    }

    private void sendRequestedRows() {
        while (rowsToSend > 0 && state == CursorState.FETCHING && replies.acceptsPart()) {
            if (nextRowOffset == currentBlock.length && !readNextBlock()) {
                return;
            }
            if (state == CursorState.FETCHING) {
                sendRowsOfBlock();
            }
        }
        if (rowsToSend == 0 || state == CursorState.FETCHING_LAST) {
            finishFetch();
        }
    }

    private void finishFetch() {
        // Looks ahead, so that the reply with the last row can say so and the client needs no empty fetch.
        boolean blockSent = state == CursorState.FETCHING && nextRowOffset == currentBlock.length;
        if (blockSent && reader.readStatus() == ReadStatus.MORE) {
            readNextBlock();
        }
        if (!state.isFetching()) {
            return;
        }
        replies.send(dialect.eofOrOk(alloc, nextSequence, endStatus()));
        if (range.isPage() || state == CursorState.FETCHING_LAST) {
            close();
            listener.ended(ReadStatus.END, OptionalInt.empty());
        } else {
            transition(CursorState.Event.FETCH_COMPLETED);
            listener.ended(ReadStatus.MORE, OptionalInt.empty());
        }
    }

    /** Returns the status flags of the packet after the rows. */
    private int endStatus() {
        if (range.isPage()) {
            return 0;
        }
        return state == CursorState.FETCHING_LAST
                ? Packets.SERVER_STATUS_LAST_ROW_SENT
                : Packets.SERVER_STATUS_CURSOR_EXISTS;
    }

    /** Reads the next block or the end of the rows; returns false if neither is available. */
    private boolean readNextBlock() {
        ResultChunk block = reader.poll();
        if (block != null && block.rows() > 0) {
            // Copied because other readers share the block, and its packets are renumbered for this reply.
            currentBlock = block.bytes().clone();
            nextRowOffset = 0;
            return true;
        }
        // A block without rows follows the rows; it holds the last packet of the engine's reply.
        if (block != null || reader.readStatus() == ReadStatus.END) {
            transition(CursorState.Event.NO_ROWS_LEFT);
            return true;
        }
        if (reader.readStatus() == ReadStatus.FAILED) {
            abort(ReadStatus.FAILED);
        }
        return false;
    }

    /** Sends the requested rows of the current block. */
    private void sendRowsOfBlock() {
        skipRows();
        int begin = nextRowOffset;
        while (nextRowOffset < currentBlock.length && rowsToSend > 0) {
            advanceRow();
            rowsToSend--;
        }
        if (nextRowOffset > begin) {
            replies.send(Unpooled.wrappedBuffer(currentBlock, begin, nextRowOffset - begin));
        }
    }

    private void skipRows() {
        int firstSequence = nextSequence;
        while (nextRowOffset < currentBlock.length && rowsToSkip > 0) {
            advanceRow();
            rowsToSkip--;
        }
        nextSequence = firstSequence;
    }

    /** Sets the sequence numbers of the packets of the next row, and moves past it. */
    private void advanceRow() {
        int length;
        do {
            currentBlock[nextRowOffset + SEQUENCE_OFFSET] = (byte) nextSequence;
            nextSequence++;
            length = Packets.frameLength(currentBlock, nextRowOffset);
            nextRowOffset += length;
        } while (length == Packets.HEADER_BYTES + Packets.MAX_PAYLOAD_BYTES);
    }

    /** Closes the cursor, and reports the reason to the listener if the client waits for a reply. */
    private void abort(ReadStatus reason) {
        boolean replyPending = state.isReplyPending();
        Optional<byte[]> engineError = reason == ReadStatus.FAILED ? reader.engineError() : Optional.empty();
        close();
        if (!replyPending) {
            return;
        }
        int sequence = Math.max(1, nextSequence);
        if (engineError.isPresent()) {
            replies.send(Packets.withSequence(engineError.get(), sequence));
            listener.ended(ReadStatus.END, OptionalInt.empty());
        } else {
            listener.ended(reason, OptionalInt.of(sequence));
        }
    }

    @Override
    public void close() {
        if (state != CursorState.CLOSED) {
            transition(CursorState.Event.CLOSE_REQUESTED);
            reader.close();
        }
    }
}
