package lineward.engine;

import io.netty.buffer.ByteBuf;
import java.util.concurrent.TimeUnit;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.ProgressKind;

/** One attempt to run a query at an engine: the request, the pages received and the listener to notify. */
public final class QueryAttempt {
    /** Is notified of an attempt's progress and end. */
    @FunctionalInterface
    public interface Listener {
        /**
         * The attempt has ended; called once at most.
         *
         * @param result all rows where the outcome is OK, else null; the listener releases it
         */
        void ended(AttemptOutcome outcome, ByteBuf result);

        /**
         * The engine reported progress.
         *
         * @param amount the ratio done, or the megabytes missing, or a reason's number, by kind
         */
        default void progressed(ProgressKind kind, double amount) {}
    }

    /**
     * Bounds of an attempt in time, counted from its creation.
     *
     * @param timeoutMs how long the attempt may take
     * @param startWithinMs after which it must no longer be sent
     */
    public record Timing(long timeoutMs, long startWithinMs) {}

    final String id;
    final String requestClass;
    final ByteBuf statement;
    final long memoryGrantMb;
    private final long deadlineNanos;
    private final long startByNanos;
    private final Listener listener;
    int priority;
    /** Whether the request was passed to the channel: a part of it may have gone out. */
    boolean requestWritten;
    /** Whether the socket has taken the request's last byte. */
    boolean requestSent;

    private boolean ended;
    /** The result as far as it has come, or null before the first page and after the end. */
    private ResultPages pages;

    /**
     * Creates an attempt that has not been sent.
     *
     * @param id the request's id, forwarded unchanged
     * @param requestClass the class's name
     * @param statement the bytes to run. Retained until the attempt ends: its request may end, and release
     *     them, in the same event loop run in which the connection comes up that the attempt waits for
     * @param timing how long it may take, and by when it must have been sent
     * @param memoryGrantMb memory reserved at the engine, rounded up; 0 for none
     */
    public QueryAttempt(
            String id,
            String requestClass,
            ByteBuf statement,
            Timing timing,
            double memoryGrantMb,
            int priority,
            Listener listener) {
        this.id = id;
        this.requestClass = requestClass;
        this.statement = statement.retain();
        long now = System.nanoTime();
        long startWithinMs = Math.min(timing.startWithinMs(), timing.timeoutMs());
        this.deadlineNanos = now + TimeUnit.MILLISECONDS.toNanos(timing.timeoutMs());
        this.startByNanos = now + TimeUnit.MILLISECONDS.toNanos(startWithinMs);
        this.memoryGrantMb = (long) Math.ceil(memoryGrantMb);
        this.priority = priority;
        this.listener = listener;
    }

    /** Returns the time left until the timeout, 1 ms at least. */
    long remainingMs(long nowNanos) {
        return Math.max(1, TimeUnit.NANOSECONDS.toMillis(deadlineNanos - nowNanos));
    }

    /** Returns whether it is too late to send the request. */
    boolean isPastStartDeadline(long nowNanos) {
        return startByNanos - nowNanos < 0;
    }

    /** Returns whether the timeout has passed, so that the id will not be used again. */
    boolean isExpired(long nowNanos) {
        return deadlineNanos - nowNanos < 0;
    }

    /** Returns whether the reply repeats a page that is here. */
    boolean isDuplicate(Reply reply) {
        if (pages == null) {
            return false;
        }
        return switch (reply.type()) {
            case FIRST_PAGE -> true;
            case NEXT_PAGE -> pages.contains(reply.integer(LineProtocol.PAGE_INDEX_FIELD, -1));
            default -> false;
        };
    }

    /** Returns whether the first page has been received, and the end has not come. */
    boolean hasFirstPage() {
        return pages != null;
    }

    /**
     * Adds the first page, and becomes its owner.
     *
     * @throws MalformedReplyException if the count or the page is not acceptable; the page stays the caller's
     */
    void addFirstPage(int pageCount, ByteBuf page) {
        pages = ResultPages.ofCount(pageCount);
        addPage(0, page);
    }

    /**
     * Adds a page that is not here yet, and becomes its owner.
     *
     * @throws MalformedReplyException if the page was not requested or is not acceptable; it stays
     *     the caller's
     */
    void addPage(int index, ByteBuf page) {
        if (pages == null || !pages.accepts(index, page)) {
            throw new MalformedReplyException("page " + index + " was not requested or holds no rows");
        }
        pages.add(index, page);
    }

    boolean hasAllPages() {
        return pages.isComplete();
    }

    int pageCount() {
        return pages.count();
    }

    /** Ends the attempt and notifies the listener; ends after the first are ignored. */
    void end(AttemptEnd end) {
        if (!endOnce()) {
            return;
        }
        ByteBuf result = null;
        if (end == AttemptEnd.COMPLETED) {
            result = pages.detach();
            pages = null;
        }
        releasePages();
        listener.ended(end.outcome, result);
    }

    /** Passes a progress report on to the listener; ignored after the end. */
    void progressed(Reply report) {
        if (!ended) {
            ProgressReports.notify(report.fields(), listener);
        }
    }

    /** Ends the attempt without notifying the listener. */
    void discard() {
        if (endOnce()) {
            releasePages();
        }
    }

    /** Returns whether the attempt had not ended before. */
    private boolean endOnce() {
        if (ended) {
            return false;
        }
        ended = true;
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
