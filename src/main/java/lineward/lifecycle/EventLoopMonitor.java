package lineward.lifecycle;

import io.netty.util.concurrent.EventExecutorGroup;
import java.util.function.IntConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ends the process if an event loop ends, for example by an error of the virtual machine: the process would
 * still listen, but accept or answer nothing.
 */
public final class EventLoopMonitor {
    /** Status of a process that ends for this reason. */
    public static final int EXIT_STATUS = 1;

    private static final Logger LOG = LoggerFactory.getLogger(EventLoopMonitor.class);

    private EventLoopMonitor() {}

    /**
     * Watches an event loop that runs until the process ends.
     *
     * @param exit ends the process with the given status; called on any thread
     */
    public static void watch(EventExecutorGroup eventLoop, IntConsumer exit) {
        eventLoop.terminationFuture().addListener(ended -> {
            LOG.error("event loop ended, process exits: status={}", EXIT_STATUS);
            exit.accept(EXIT_STATUS);
        });
    }
}
