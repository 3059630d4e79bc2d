package lineward.frontend;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;

/** Logs one line a second at most and counts the rest: nonsense at full speed must not cost a line each. */
public final class RateLimitedLog {
    private static final long PAUSE = TimeUnit.SECONDS.toNanos(1);
    private final Logger log;
    private long next = System.nanoTime();
    private int passedOver;

    /** @param log where the lines go */
    public RateLimitedLog(Logger log) {
        this.log = log;
    }

    /** Logs the line, unless one was logged a moment ago. */
    public void info(String what, Object about, Object cause) {
        long now = System.nanoTime();
        if (now - next < 0) {
            passedOver++;
            return;
        }
        log.info("{} {}: {} ({} lines like this passed over)", what, about, cause.toString(), passedOver);
        next = now + PAUSE;
        passedOver = 0;
    }
}
