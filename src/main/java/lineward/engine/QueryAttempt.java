package lineward.engine;

import io.netty.buffer.ByteBuf;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import lineward.core.ByteBudget;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.ProgressKind;

/**
 * One attempt to run a query on an engine: the request, the pages received and the listener. It owns a
 * reference to its statement, and the pages, until it ends. Used on the event loop only.
 */
public final class QueryAttempt {
    /** Notified of an attempt's progress and end, on the event loop. */
    @FunctionalInterface
    public interface Listener {
        /**
         * The attempt has ended; called at most once.
         *
         * @param result all rows if the outcome is OK, else null; the listener takes ownership
         */
        void ended(AttemptOutcome outcome, ByteBuf result);

        /**
         * The engine reported progress.
         *
         * @param amount depends on the kind: the ratio done, the megabytes missing, or a code of what the
         *     query waits for
         */
        default void progressed(ProgressKind kind, double amount) {}
    }

    /**
     * Time limits of an attempt, counted from its creation.
     *
     * @param timeoutMs how long the attempt may take
     * @param startWithinMs time after which its request must no longer be sent
     */
    public record TimeLimits(long timeoutMs, long startWithinMs) {}

    private final String id;
    private final String requestClass;
    private final ByteBuf statement;
    private final long memoryGrantMb;
    private final long deadlineNanos;
    private final long startDeadlineNanos;
    private final Listener listener;
    private int priority;
    private QueryAttemptState state = QueryAttemptState.WAITING;
    /** The pages received; null before the first page and after the end. */
    private ResultPages pages;

    /**
     * Creates an attempt that has not been sent.
     *
     * @param id the request's id, forwarded unchanged
     * @param requestClass name of the request's class
     * @param statement the statement to run. It is retained until the attempt ends, because the request may
     *     end and release it in the same event loop run in which the connection is established
     * @param timeLimits how long the attempt may take, and until when its request may be sent
     * @param memoryGrantMb memory to reserve at the engine, rounded up; 0 lets the engine decide
     * @param priority priority from 0, the lowest, to 3
     */
    public QueryAttempt(
            String id,
            String requestClass,
            ByteBuf statement,
            TimeLimits timeLimits,
            double memoryGrantMb,
            int priority,
            Listener listener) {
        this.id = id;
        this.requestClass = requestClass;
        this.statement = statement.retain();
        long now = System.nanoTime();
        long startWithinMs = Math.min(timeLimits.startWithinMs(), timeLimits.timeoutMs());
        this.deadlineNanos = now + TimeUnit.MILLISECONDS.toNanos(timeLimits.timeoutMs());
        this.startDeadlineNanos = now + TimeUnit.MILLISECONDS.toNanos(startWithinMs);
        this.memoryGrantMb = (long) Math.ceil(memoryGrantMb);
        this.priority = priority;
        this.listener = listener;
    }

    /** Returns the request's id. */
    String id() {
        return id;
    }

    /** Returns the name of the request's class. */
    String requestClass() {
        return requestClass;
    }

    /** Returns the statement, which this attempt owns until it ends. */
    ByteBuf statement() {
        return statement;
    }

    /** Returns the memory to reserve at the engine in megabytes; empty if the engine decides. */
    OptionalLong memoryGrantMb() {
        return memoryGrantMb > 0 ? OptionalLong.of(memoryGrantMb) : OptionalLong.empty();
    }

    /** Returns the priority, from 0, the lowest, to 3. */
    int priority() {
        return priority;
    }

    /** Sets the priority; the caller notifies the engine. */
    void setPriority(int newPriority) {
        priority = newPriority;
    }

    /** Records that the request was passed to the channel. */
    void requestWritten() {
        state = state.requestWritten();
    }

    /** Records that the last byte of the request was written to the socket. */
    void requestSent() {
        state = state.requestSent();
    }

    /** Returns whether part of the request may have been sent and the attempt has not ended. */
    boolean isRequestWritten() {
        return state.isRequestWritten();
    }

    /** Returns whether the engine may have received the complete request and the attempt has not ended. */
    boolean isRequestSent() {
        return state == QueryAttemptState.SENT;
    }

    /** Returns the time left until the timeout, at least 1 ms. */
    long remainingMs(long nowNanos) {
        return Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nowNanos));
    }

    /** Returns whether the request must no longer be sent. */
    boolean isPastStartDeadline(long nowNanos) {
        return startDeadlineNanos - nowNanos < 0;
    }

    /** Returns whether the timeout has passed, after which the request is not retried. */
    boolean isExpired(long nowNanos) {
        return deadlineNanos - nowNanos < 0;
    }

    /**
     * Returns whether the reply is a page that was received before.
     *
     * @throws MalformedReplyException if the reply has no valid page index
     */
    boolean isDuplicate(Reply reply) {
        if (pages == null) {
            return false;
        }
        return switch (reply.type()) {
            case FIRST_PAGE -> true;
            case NEXT_PAGE -> pages.contains(reply.integer(LineProtocol.PAGE_INDEX_FIELD));
            default -> false;
        };
    }

    /** Returns whether the first page was received and the attempt has not ended. */
    boolean hasFirstPage() {
        return pages != null;
    }

    /**
     * Adds the first page and takes ownership of it.
     *
     * @param budget the bytes that all incomplete results may use
     * @return false, and the caller keeps ownership, if the budget is exhausted
     * @throws MalformedReplyException if the count or the page is invalid; the caller keeps ownership
     */
    boolean addFirstPage(int pageCount, ByteBuf page, ByteBudget budget) {
        pages = ResultPages.ofCount(pageCount, budget);
        return addPage(0, page);
    }

    /**
     * Adds a page that was not received before and takes ownership of it.
     *
     * @return false, and the caller keeps ownership, if the budget of incomplete results is exhausted
     * @throws MalformedReplyException if the page was not requested or is invalid; the caller keeps ownership
     */
    boolean addPage(int index, ByteBuf page) {
        if (pages == null || !pages.accepts(index, page)) {
            throw new MalformedReplyException("page " + index + " was not requested or is invalid");
        }
        return pages.add(index, page);
    }

    /** Returns whether the result is complete; the first page must have been received. */
    boolean hasAllPages() {
        return pages.isComplete();
    }

    /** Returns the number of pages of the result; the first page must have been received. */
    int pageCount() {
        return pages.pageCount();
    }

    /** Ends the attempt and notifies the listener; no effect if it has already ended. */
    void end(AttemptEnd end) {
        if (!markEnded()) {
            return;
        }
        ByteBuf result = null;
        if (end == AttemptEnd.COMPLETED) {
            result = pages.detach();
            pages = null;
        }
        releasePages();
        listener.ended(end.outcome(), result);
    }

    /** Notifies the listener of a progress report; no effect if the attempt has ended. */
    void progressed(Reply report) {
        if (state != QueryAttemptState.ENDED) {
            ProgressReports.notifyListener(report.fields(), listener);
        }
    }

    /** Ends the attempt without notifying the listener. */
    void discard() {
        if (markEnded()) {
            releasePages();
        }
    }

    /** Ends the attempt; returns false if it has already ended. */
    private boolean markEnded() {
        if (state == QueryAttemptState.ENDED) {
            return false;
        }
        state = state.ended();
        statement.release();
        return true;
    }

    private void releasePages() {
        if (pages != null) {
            pages.release();
            pages = null;
        }
    }
}
