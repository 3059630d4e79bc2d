package lineward.spool;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import lineward.spool.store.Manifest;
import lineward.spool.store.Segment;
import lineward.spool.store.SegmentStore;

/**
 * One result: blocks in the order in which they came, in memory or on file, that grows until it is whole. A
 * result without a key is read once and its blocks are given back as they are read; one with a key stays
 * until its lease ends. Confined to the event loop.
 */
public final class SpooledResult {
    /** Rows are gathered into blocks of about this size. */
    static final int BLOCK = 64 << 10;

    /** What a reader finds at its place. */
    public enum Ahead {
        /** There is more, now or later. */
        MORE,
        /** All has been read. */
        END,
        /** What is missing will never come: the engine broke off or a file can't be read. */
        BROKEN,
        /** The reader's time is over. */
        LAPSED
    }

    /** A piece of a result. @param rows whole rows in it; 0: what stands before or behind the rows */
    public record Piece(byte[] bytes, int rows) {}

    private static final class Block {
        final long firstRow;
        final int rows;
        final int raw;
        /** Null once it is on file alone. */
        byte[] data;

        boolean filed;
        Segment.Place place;

        Block(long firstRow, int rows, byte[] data) {
            this.firstRow = firstRow;
            this.rows = rows;
            this.data = data;
            this.raw = data.length;
        }

        Block(Segment.Place place) {
            this.firstRow = place.firstRow();
            this.rows = place.rows();
            this.raw = place.raw();
            this.place = place;
            this.filed = true;
        }
    }

    private final Spool spool;
    private final long id;
    private final String user;
    private final String key;
    private final String statement;
    private final SegmentStore.Handle handle;
    private final List<Block> blocks = new ArrayList<>();
    private final List<Reader> readers = new ArrayList<>();
    /** Blocks that have been read and given back before the first of {@link #blocks}. */
    private int dropped;

    private byte[] growing = new byte[0];
    private int grown;
    private int growingRows;
    private long rows;
    private long bytes;
    private int writing;
    private boolean hasFile;
    private boolean whole;
    private boolean broken;
    private boolean lapsed;
    private boolean released;
    private Runnable flow = () -> {};

    SpooledResult(
            Spool spool,
            long id,
            String user,
            String key,
            String statement,
            SegmentStore.Handle handle,
            List<Segment.Place> found) {
        this.spool = spool;
        this.id = id;
        this.user = user;
        this.key = key;
        this.statement = statement;
        this.handle = handle;
        found.forEach(place -> blocks.add(new Block(place)));
        whole = !found.isEmpty();
        hasFile = whole;
        rows = found.stream().mapToLong(Segment.Place::rows).sum();
        bytes = found.stream().mapToLong(Segment.Place::raw).sum();
    }

    long id() {
        return id;
    }

    String user() {
        return user;
    }

    String key() {
        return key;
    }

    /** Returns the digest of what was asked. */
    public String statement() {
        return statement;
    }

    /** Returns whether it has been given back. */
    public boolean isGone() {
        return released;
    }

    /** Returns whether all of it is here. */
    public boolean isWhole() {
        return whole && !released;
    }

    /** Returns bytes taken so far. */
    public long bytes() {
        return bytes;
    }

    /** @param onChange is called when {@link #wantsMore} may have changed */
    public void onFlow(Runnable onChange) {
        flow = onChange;
    }

    void flow() {
        flow.run();
    }

    /** Returns whether the engine is to be read on. */
    public boolean wantsMore() {
        return released || spool.policy().mayGrow(id) && spool.diskKeepsUp();
    }

    /** Returns whether the first row is to go out now, though the result is not whole. */
    public boolean opens(double ageMs, double patienceMs) {
        return !released && spool.policy().opens(id, bytes, ageMs, patienceMs);
    }

    /**
     * Makes room for bytes that are to come.
     *
     * @return where in {@link #buffer} they go; {@link #took} is to follow
     */
    public int reserve(int length) {
        if (grown + length > growing.length) {
            int roomy = Math.min(2 * growing.length + 1024, BLOCK);
            growing = Arrays.copyOf(growing, Math.max(grown + length, roomy));
        }
        return grown;
    }

    /** Returns what {@link #reserve} has made room in; another one after each reserve. */
    public byte[] buffer() {
        return growing;
    }

    /**
     * The bytes are in place.
     *
     * @param row whether a row has ended with them
     * @param more whether what follows belongs to the same row, and must stand in the same block
     */
    public void took(int length, boolean row, boolean more) {
        if (released) {
            grown = 0;
            return;
        }
        grown += length;
        bytes += length;
        growingRows += row ? 1 : 0;
        if (grown >= BLOCK && !more) {
            seal();
        }
    }

    /** What came so far stands in blocks of its own: rows and what is around them are never in one. */
    public void seal() {
        if (grown == 0 || released) {
            return;
        }
        Block block = new Block(rows, growingRows, grown == growing.length ? growing : Arrays.copyOf(growing, grown));
        rows += growingRows;
        growing = new byte[0];
        grown = 0;
        growingRows = 0;
        blocks.add(block);
        if (spool.policy().place(id, block.raw, spool.now()) == SpoolPolicy.Place.FILE) {
            write(block);
        }
        tellReaders();
    }

    private void write(Block block) {
        block.filed = true;
        hasFile = true;
        writing++;
        spool.underWay(block.raw);
        spool.store().append(handle, block.data, block.firstRow, block.rows, (place, failure) -> {
            writing--;
            spool.underWay(-block.raw);
            spool.wrote(failure);
            if (released) {
                return;
            }
            if (failure == null) {
                block.place = place;
                block.data = null;
                spool.policy().stored(id, block.raw, place.bytes());
            } else {
                block.filed = false;
                spool.policy().writeFailed(id, block.raw, spool.now());
            }
            trim();
            flow();
            tellReaders();
            finish();
        });
    }

    /** Gives blocks back that the one reader of a result without a key has passed; those under way wait. */
    private void trim() {
        if (!key.isEmpty() || readers.isEmpty()) {
            return;
        }
        while (dropped < readers.get(0).next && !(blocks.get(0).filed && blocks.get(0).place == null)) {
            Block block = blocks.remove(0);
            dropped++;
            if (!block.filed) {
                spool.policy().consumed(id, block.raw, spool.now());
            }
        }
    }

    /** The result is whole. With a key, and on file to the last block, it outlives this process. */
    public void complete() {
        if (released) {
            return;
        }
        seal();
        whole = true;
        spool.policy().complete(id, spool.now());
        finish();
        tellReaders();
    }

    private void finish() {
        if (whole
                && !key.isEmpty()
                && writing == 0
                && !broken
                && !blocks.isEmpty()
                && blocks.stream().allMatch(b -> b.place != null)) {
            List<Segment.Place> places = blocks.stream().map(b -> b.place).toList();
            writing++;
            spool.store()
                    .complete(
                            handle,
                            new Manifest(user, key, statement, System.currentTimeMillis(), rows, bytes),
                            places,
                            (length, failure) -> {
                                spool.wrote(failure);
                                if (failure == null && !released) {
                                    long had = places.stream()
                                            .mapToLong(Segment.Place::bytes)
                                            .sum();
                                    spool.policy().stored(id, had, length);
                                }
                            });
        }
    }

    /** What is missing will never come. */
    public void breakOff() {
        if (!released && !whole) {
            seal();
            broken = true;
            if (readers.isEmpty()) {
                release();
            } else {
                tellReaders();
            }
        }
    }

    /** Whoever asked for it has gone before it read: without a key nobody will come back. */
    public void abandon() {
        if (key.isEmpty() || !whole) {
            release();
        }
    }

    void lapse() {
        lapsed = true;
        if (readers.isEmpty()) {
            release();
        } else {
            tellReaders();
            flow();
        }
    }

    /** Returns whether its time is over. */
    public boolean isLapsed() {
        return lapsed;
    }

    /** Gives all back. Readers that are left find it broken. */
    public void release() {
        if (released) {
            return;
        }
        released = true;
        blocks.clear();
        growing = new byte[0];
        spool.policy().release(id, spool.now());
        spool.gone(this);
        // Danger: the blocks that went there may have been read and forgotten long ago.
        if (hasFile) {
            spool.store().delete(handle, (nothing, failure) -> spool.wrote(failure));
        }
        flow();
        tellReaders();
    }

    /** @param news is called when {@link Reader#poll} may bring more than it did */
    public Reader read(Runnable news) {
        Reader reader = new Reader(news);
        readers.add(reader);
        spool.policy().opened(id, spool.now());
        return reader;
    }

    private void tellReaders() {
        List.copyOf(readers).forEach(r -> r.news.run());
    }

    /** Reads a result from its first block on, in order. */
    public final class Reader {
        private final Runnable news;
        private int next;
        private boolean loading;
        private byte[] loaded;
        private IOException unreadable;
        private boolean closed;

        private Reader(Runnable news) {
            this.news = Objects.requireNonNull(news);
        }

        /** Returns the next piece; null: none is at hand, and the listener hears when that changes. */
        public Piece poll() {
            if (closed || released || lapsed || unreadable != null) {
                return null;
            }
            if (next == dropped + blocks.size()) {
                seal();
                if (next == dropped + blocks.size()) {
                    return null;
                }
            }
            Block block = blocks.get(next - dropped);
            byte[] data = block.data == null ? loaded : block.data;
            if (data == null) {
                load(block);
                return null;
            }
            loaded = null;
            next++;
            spool.policy().read(id, spool.now());
            trim();
            flow();
            return new Piece(data, block.rows);
        }

        private void load(Block block) {
            if (!loading) {
                loading = true;
                spool.store().read(handle, block.place, (data, failure) -> {
                    loading = false;
                    loaded = data;
                    unreadable = failure;
                    if (!closed) {
                        news.run();
                    }
                });
            }
        }

        /** Returns what lies ahead of the pieces read so far. */
        public Ahead ahead() {
            if (lapsed) {
                return Ahead.LAPSED;
            }
            if (released || unreadable != null) {
                return Ahead.BROKEN;
            }
            if (next < dropped + blocks.size() || grown > 0) {
                return Ahead.MORE;
            }
            return broken ? Ahead.BROKEN : whole ? Ahead.END : Ahead.MORE;
        }

        /**
         * Goes to the block in which a row stands; only in a result with a key, and before the first poll.
         *
         * @return rows of that block that stand before it; -1 if the result does not reach so far
         */
        public int seek(long row) {
            for (int i = 0; i < blocks.size(); i++) {
                Block block = blocks.get(i);
                if (block.rows > 0 && row >= block.firstRow && row < block.firstRow + block.rows) {
                    next = dropped + i;
                    return (int) (row - block.firstRow);
                }
            }
            return -1;
        }

        /** The reader needs nothing more. */
        public void close() {
            if (!closed) {
                closed = true;
                readers.remove(this);
                if (spool.policy().closed(id, spool.now()) && (whole || broken || lapsed || key.isEmpty())) {
                    release();
                }
            }
        }
    }
}
