package lineward.spool.store;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Reads and writes segments on its own threads: one writes, in the order of the calls, and two read. The
 * methods are called on the event loop, where their completions run too. The caller bounds the queues: it
 * limits the bytes that are waiting to be written, and each reader of a result loads one block at a time.
 */
public final class SegmentStore implements AutoCloseable {
    private static final int READER_THREADS = 2;
    private static final int THREAD_KEEP_ALIVE_S = 10;
    private static final int SHUTDOWN_TIMEOUT_S = 5;

    /** Receives the outcome of a call. */
    @FunctionalInterface
    public interface Completion<T> {
        /**
         * Called once, on the event loop.
         *
         * @param result null if the call failed
         * @param failure null if it succeeded
         */
        void completed(T result, IOException failure);
    }

    /** The file of one result, created when its first block is written. The writer thread changes it. */
    public static final class Handle {
        private Segment segment;
        private boolean deleted;

        /** Creates the handle of a result that has no file yet. */
        public Handle() {}

        /** Creates the handle of a result of an earlier process. */
        public Handle(Segment segment) {
            this.segment = segment;
        }
    }

    @FunctionalInterface
    private interface Task<T> {
        T run() throws IOException;
    }

    private final SpoolFolder folder;
    private final Executor eventLoop;
    private final ThreadPoolExecutor writer = createThreadPool("spool-write", 1);
    private final ThreadPoolExecutor readers = createThreadPool("spool-read", READER_THREADS);

    /**
     * Creates a store, which starts its threads on demand.
     *
     * @param folder folder of the segments; closed with this store
     * @param eventLoop event loop on which all calls complete
     */
    public SegmentStore(SpoolFolder folder, Executor eventLoop) {
        this.folder = folder;
        this.eventLoop = eventLoop;
    }

    private static ThreadPoolExecutor createThreadPool(String name, int count) {
        ThreadPoolExecutor threads = new ThreadPoolExecutor(
                count, count, THREAD_KEEP_ALIVE_S, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), task -> {
                    Thread thread = new Thread(task, name);
                    thread.setDaemon(true);
                    return thread;
                });
        threads.allowCoreThreadTimeOut(true);
        return threads;
    }

    private <T> void submit(ThreadPoolExecutor threads, Task<T> task, Completion<T> completion) {
        threads.execute(() -> {
            T result;
            try {
                result = task.run();
            } catch (IOException | RuntimeException e) {
                // An exception, e.g. for a corrupt file, must be reported and must not end the thread.
                IOException failure = asIoException(e);
                eventLoop.execute(() -> completion.completed(null, failure));
                return;
            }
            eventLoop.execute(() -> completion.completed(result, null));
        });
    }

    private static IOException asIoException(Exception failure) {
        if (failure instanceof IOException ioException) {
            return ioException;
        }
        if (failure instanceof UncheckedIOException unchecked) {
            return unchecked.getCause();
        }
        return new IOException(failure);
    }

    /** Appends a block to a result's file, which is created for its first block. */
    public void append(Handle file, byte[] raw, long firstRow, int rows, Completion<Segment.Extent> onEnd) {
        submit(
                writer,
                () -> {
                    if (file.deleted) {
                        throw new IOException("result was deleted before its block was written");
                    }
                    if (file.segment == null) {
                        file.segment = folder.create(System.currentTimeMillis());
                    }
                    return file.segment.append(raw, firstRow, rows);
                },
                onEnd);
    }

    /** Writes the manifest and the index; the completion receives the length of the file in bytes. */
    public void complete(Handle file, Manifest manifest, List<Segment.Extent> index, Completion<Long> onEnd) {
        submit(
                writer,
                () -> {
                    if (file.deleted || file.segment == null) {
                        throw new IOException("result was deleted or has no file; manifest not written");
                    }
                    file.segment.complete(manifest, index);
                    return file.segment.length();
                },
                onEnd);
    }

    /** Reads a block; the completion receives its bytes, verified and decompressed. */
    public void read(Handle file, Segment.Extent location, Completion<byte[]> onEnd) {
        submit(readers, () -> file.segment.read(location), onEnd);
    }

    /** Deletes a result's file, if it has one, after all earlier writes. */
    public void delete(Handle file, Completion<Void> onEnd) {
        submit(
                writer,
                () -> {
                    file.deleted = true;
                    if (file.segment != null) {
                        file.segment.delete();
                    }
                    return null;
                },
                onEnd);
    }

    /** Shuts the threads down, waits up to 5 s for pending writes, and releases the folder. */
    @Override
    public void close() throws IOException {
        writer.shutdown();
        readers.shutdown();
        try {
            // The threads are daemons, so that the process may end during a write; recovery at the next start
            // deletes an incomplete segment.
            writer.awaitTermination(SHUTDOWN_TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        folder.close();
    }
}
