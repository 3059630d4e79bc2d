package lineward.frontend;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;

/**
 * Logs at most one line per second and counts the suppressed lines, so that a flood of malformed input does
 * not slow down the program. Not thread-safe.
 */
public final class RateLimitedLog {
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final String FORMAT = "{}: {}={} cause={} suppressedLines={}";

    private final Logger log;
    private long nextLogNanos = System.nanoTime();
    private int suppressedLines;

    /**
     * Creates a log that does not suppress its first line.
     *
     * @param log logger that receives the lines
     */
    public RateLimitedLog(Logger log) {
        this.log = log;
    }

    /**
     * Logs a line at level INFO, unless one was logged within the last second.
     *
     * @param event description of the event
     * @param key log key of the subject, such as {@code engine} or {@code client}
     * @param subject engine or client that the event concerns
     * @param cause cause of the event, logged without a stack trace
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
