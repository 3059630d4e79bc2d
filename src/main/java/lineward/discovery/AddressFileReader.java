package lineward.discovery;

import io.netty.channel.EventLoop;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Reads the service's address from the configuration file on a thread of its own, which lives while it has
 * something to do. At most one read is waiting: the poll policy asks for the next only after the last one's
 * result.
 */
final class AddressFileReader {
    private static final int IDLE_THREAD_LIFE_S = 5;

    /** Takes the result of a read, on the event loop. */
    interface Listener {
        /** The file names that address. */
        void addressRead(String address);

        /** The file can't be read or used. */
        void readFailed(String reason);
    }

    private final EventLoop loop;
    private final Supplier<String> file;
    private final ThreadPoolExecutor executor;

    /**
     * Creates a reader.
     *
     * @param file returns the address in the file; throws a runtime exception with one plain line if it can't
     */
    AddressFileReader(EventLoop loop, Supplier<String> file) {
        this.loop = loop;
        this.file = file;
        BlockingQueue<Runnable> reads = new LinkedBlockingQueue<>();
        ThreadFactory threads = AddressFileReader::newThread;
        executor = new ThreadPoolExecutor(1, 1, IDLE_THREAD_LIFE_S, TimeUnit.SECONDS, reads, threads);
        executor.allowCoreThreadTimeOut(true);
    }

    /** Reads the file once. */
    void read(Listener listener) {
        executor.execute(() -> {
            String address;
            try {
                address = file.get();
            } catch (RuntimeException e) {
                String reason = String.valueOf(e.getMessage());
                loop.execute(() -> listener.readFailed(reason));
                return;
            }
            loop.execute(() -> listener.addressRead(address));
        });
    }

    private static Thread newThread(Runnable task) {
        Thread thread = new Thread(task, "configuration");
        thread.setDaemon(true);
        return thread;
    }
}
