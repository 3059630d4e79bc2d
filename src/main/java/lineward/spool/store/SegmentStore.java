package lineward.spool.store;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Reads and writes segments beside the event loop: one thread writes, in the order asked for, and two read.
 * What waits is bounded by the caller, which counts the bytes under way; each call's end is told on the event
 * loop.
 */
public final class SegmentStore implements AutoCloseable {
    private static final int READERS = 2;
    private static final int THREADS_LIVE_S = 10;
    private static final int END_TAKES_S = 5;

    /** Hears how a call ended. */
    @FunctionalInterface
    public interface Done<T> {
        /**
         * @param result null if it failed
         * @param failure null if it did not
         */
        void done(T result, IOException failure);
    }

    /** The file of one result; made by the first block. */
    public static final class Handle {
        private Segment segment;
        private boolean deleted;

        /** A result that has no file yet. */
        public Handle() {}

        /** A result that was found on file. */
        public Handle(Segment segment) {
            this.segment = segment;
        }
    }

    @FunctionalInterface
    private interface Task<T> {
        T run() throws IOException;
    }

    private final SpoolFolder folder;
    private final Executor loop;
    private final ThreadPoolExecutor writer = threads("spool-write", 1);
    private final ThreadPoolExecutor readers = threads("spool-read", READERS);

    /** @param loop hears the ends of all calls */
    public SegmentStore(SpoolFolder folder, Executor loop) {
        this.folder = folder;
        this.loop = loop;
    }

    private static ThreadPoolExecutor threads(String name, int most) {
        ThreadPoolExecutor threads = new ThreadPoolExecutor(
                most, most, THREADS_LIVE_S, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                });
        threads.allowCoreThreadTimeOut(true);
        return threads;
    }

    private <T> void on(ThreadPoolExecutor threads, Task<T> task, Done<T> then) {
        threads.execute(() -> {
            T result = null;
            IOException failure = null;
            try {
                result = task.run();
            } catch (IOException e) {
                failure = e;
            } catch (UncheckedIOException e) {
                failure = e.getCause();
            } catch (RuntimeException e) {
                // A file that is not what it seems must not end a worker.
                failure = new IOException(e);
            }
            T told = result;
            IOException why = failure;
            loop.execute(() -> then.done(told, why));
        });
    }

    /** Appends a block to a result's file, which its first block makes. */
    public void append(Handle handle, byte[] raw, long firstRow, int rows, Done<Segment.Place> then) {
        on(
                writer,
                () -> {
                    if (handle.deleted) {
                        throw new IOException("the result is gone");
                    }
                    if (handle.segment == null) {
                        handle.segment = folder.create(System.currentTimeMillis());
                    }
                    return handle.segment.append(raw, firstRow, rows);
                },
                then);
    }

    /** Makes a result on file whole; tells the bytes of its file. */
    public void complete(Handle handle, Manifest manifest, List<Segment.Place> blocks, Done<Long> then) {
        on(
                writer,
                () -> {
                    if (handle.deleted || handle.segment == null) {
                        throw new IOException("the result is gone");
                    }
                    handle.segment.complete(manifest, blocks);
                    return handle.segment.length();
                },
                then);
    }

    /** Reads a block, unpacked and checked. */
    public void read(Handle handle, Segment.Place place, Done<byte[]> then) {
        on(readers, () -> handle.segment.read(place), then);
    }

    /** Deletes a result's file, behind all that was asked of it before. */
    public void delete(Handle handle, Done<Void> then) {
        on(
                writer,
                () -> {
                    handle.deleted = true;
                    if (handle.segment != null) {
                        handle.segment.delete();
                    }
                    return null;
                },
                then);
    }

    /** Ends the workers once what was asked has been done, 5 s at most, and lets go of the folder. */
    @Override
    public void close() throws IOException {
        writer.shutdown();
        readers.shutdown();
        try {
            writer.awaitTermination(END_TAKES_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        folder.close();
    }
}
