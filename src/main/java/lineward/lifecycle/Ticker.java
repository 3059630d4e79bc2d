package lineward.lifecycle;

import io.netty.channel.EventLoop;
import io.netty.util.HashedWheelTimer;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Coarse ticks on a wheel; what they call runs on the event loop. */
public final class Ticker {
    /** One tick of the wheel. */
    public static final int TICK_MS = 5;

    private static final Logger LOG = LoggerFactory.getLogger(Ticker.class);
    private static final int WHEEL_SLOTS = 64;
    private final HashedWheelTimer wheel;

    /** @param loop runs all that is due */
    public Ticker(EventLoop loop) {
        wheel = new HashedWheelTimer(
                new DefaultThreadFactory("wheel", true), TICK_MS, TimeUnit.MILLISECONDS, WHEEL_SLOTS, false, -1, loop);
    }

    /** Runs the task again and again, each time so long after its last end. */
    public void every(int ms, Runnable task) {
        wheel.newTimeout(
                timeout -> {
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        LOG.error("tick failed", e);
                    }
                    every(ms, task);
                },
                ms,
                TimeUnit.MILLISECONDS);
    }
}
