package lineward.lifecycle;

import io.netty.channel.EventLoop;
import io.netty.util.HashedWheelTimer;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs periodic tasks on the event loop, scheduled by a hashed wheel timer, which is coarse but cheap. */
public final class Ticker {
    /** Resolution of the timer. */
    public static final int TICK_MS = 5;

    private static final Logger LOG = LoggerFactory.getLogger(Ticker.class);
    private static final int WHEEL_SLOTS = 64;
    private static final long UNLIMITED_TIMEOUTS = -1;
    private final HashedWheelTimer timer;

    /**
     * Creates a timer whose thread starts with its first task.
     *
     * @param loop event loop on which all tasks run
     */
    public Ticker(EventLoop loop) {
        timer = new HashedWheelTimer(
                new DefaultThreadFactory("wheel", true),
                TICK_MS,
                TimeUnit.MILLISECONDS,
                WHEEL_SLOTS,
                false,
                UNLIMITED_TIMEOUTS,
                loop);
    }

    /**
     * Runs the task periodically until the process ends, with this delay before the first run and between the
     * end of one run and the start of the next. May be called on any thread.
     */
    public void every(int periodMs, Runnable task) {
        timer.newTimeout(
                timeout -> {
                    try {
                        runAndLogFailure(periodMs, task);
                    } finally {
                        every(periodMs, task);
                    }
                },
                periodMs,
                TimeUnit.MILLISECONDS);
    }

    /** An error must not end the task either: without its ticks, a server listens but answers nobody. */
    private static void runAndLogFailure(int periodMs, Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            LOG.error("periodic task failed: periodMs={}", periodMs, e);
        }
    }
}
