package lineward.frontend;

import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;

/** Logs one line a second at most and counts the rest, so that malformed input at full speed costs little. */
public final class RateLimitedLog {
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
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
     * @param subject what it happened to
     * @param cause why; logged without its stack trace
     */
    public void info(String event, Object subject, Object cause) {
        long nowNanos = System.nanoTime();
        if (nowNanos - nextLogNanos < 0) {
            suppressedLines++;
            return;
        }
        String format = "{} {}: {} ({} lines like this passed over)";
        log.info(format, event, subject, cause.toString(), suppressedLines);
        nextLogNanos = nowNanos + INTERVAL_NANOS;
        suppressedLines = 0;
    }
}
