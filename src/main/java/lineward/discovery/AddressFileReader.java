package lineward.discovery;

import io.netty.channel.EventLoop;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Reads the address of service discovery from the configuration file on a separate thread, which ends when
 * idle. Called on the event loop, on which results are delivered too. At most one read is pending: {@link
 * PollPolicy} starts the next one only after the result of the previous one.
 */
final class AddressFileReader {
    private static final int THREAD_KEEP_ALIVE_S = 5;

    /** Receives the result of a read, on the event loop. */
    interface Listener {
        /** The file has been read and contains this address. */
        void addressRead(String address);

        /** The file can't be read or its content is invalid. */
        void readFailed(String reason);
    }

    private final EventLoop loop;
    private final Supplier<String> addressSupplier;
    private final ThreadPoolExecutor executor;

    /**
     * Creates a reader.
     *
     * @param addressSupplier reads the file and returns the address; throws a runtime exception with a
     *     one-line message on failure
     */
    AddressFileReader(EventLoop loop, Supplier<String> addressSupplier) {
        this.loop = loop;
        this.addressSupplier = addressSupplier;
        BlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
        ThreadFactory threadFactory = AddressFileReader::newThread;
        executor = new ThreadPoolExecutor(1, 1, THREAD_KEEP_ALIVE_S, TimeUnit.SECONDS, queue, threadFactory);
        executor.allowCoreThreadTimeOut(true);
    }

    /** Reads the file once. */
    void read(Listener listener) {
        executor.execute(() -> {
            String address;
            try {
                address = addressSupplier.get();
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
