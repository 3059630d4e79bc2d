package lineward.engine;

import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.GenericFutureListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs failures of futures whose result is otherwise ignored. Thread-safe. */
final class FailureLog {
    /**
     * For writes to a channel and its close. A failure needs no other handling: the channel closes, which
     * ends its attempts and is logged.
     */
    static final GenericFutureListener<Future<? super Void>> CHANNEL = FailureLog::logChannelFailure;

    /** For scheduled tasks, which fail only because of a bug in this program. */
    static final GenericFutureListener<Future<Object>> TASK = FailureLog::logTaskFailure;

    private static final Logger LOG = LoggerFactory.getLogger(FailureLog.class);

    private FailureLog() {}

    private static void logChannelFailure(Future<? super Void> operation) {
        if (!operation.isSuccess()) {
            LOG.debug("engine channel operation failed", operation.cause());
        }
    }

    private static void logTaskFailure(Future<?> task) {
        if (!task.isSuccess() && !task.isCancelled()) {
            LOG.warn("scheduled task failed", task.cause());
        }
    }
}
