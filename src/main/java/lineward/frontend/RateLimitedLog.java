package lineward.frontend;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;

/**
 * Logs at most one line a second and counts the others, so that malformed input at full speed does not slow
 * the program down. Used on the event loop only.
 */
public final class RateLimitedLog {
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final String FORMAT = "{}: {}={} cause={} suppressedLines={}";

    private final Logger log;
    private long nextLogNanos = System.nanoTime();
    private int suppressedLines;

    /**
     * Creates a log whose first line is never suppressed.
     *
     * @param log receives the lines
     */
    public RateLimitedLog(Logger log) {
        this.log = log;
    }

    /**
     * Logs a line, unless one was logged within the last second.
     *
     * @param event what happened
     * @param key key of the subject, as {@code engine} or {@code client}
     * @param subject the engine or client that the event concerns
     * @param cause logged without its stack trace
     */
    public void info(String event, String key, Object subject, Object cause) {
        long nowNanos = System.nanoTime();
        if (nowNanos - nextLogNanos < 0) {
            suppressedLines++;
            return;
        }
        log.info(FORMAT, event, key, subject, cause.toString(), suppressedLines);
        nextLogNanos = nowNanos + INTERVAL_NANOS;
        suppressedLines = 0;
    }
}
