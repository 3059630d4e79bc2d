package lineward.engine;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.ProgressKind;

/** One attempt at an engine: what is sent, the pages that have come, and who is told of its end. */
public final class QueryAttempt {
    /** Hears how a run ended. */
    @FunctionalInterface
    public interface Listener {
        /** @param result all rows where the outcome is OK, else null; the listener's to release */
        void ended(AttemptOutcome outcome, ByteBuf result);

        /** Its engine tells how it stands; the amount is the share done or the megabytes missing. */
        default void progressed(ProgressKind kind, double amount) {}
    }

    /**
     * @param timeoutMs how long the attempt may take
     * @param startWithinMs behind that it must not go out any more
     */
    public record Timing(long timeoutMs, long startWithinMs) {}

    private static final long NANOS = 1_000_000;
    /** Most bytes of one result, and of one page of it. */
    private static final int LARGEST_RESULT = 48_000;

    private static final int LARGEST_PAGE = 6_000;
    /** Most pages of one result: short rows, each on a page of its own. */
    private static final int MOST_PAGES = 1024;

    final String id;
    final String sort;
    final ByteBuf statement;
    final long grantMb;
    private final long until;
    private final long beginBy;
    private final Listener listener;
    int priority;
    boolean written;
    /** The socket has taken its last byte. */
    boolean sentWhole;

    private boolean over;
    private ByteBuf[] pages;
    private int missing;
    private int bytes;

    /**
     * @param id the request's id, passed on unchanged
     * @param sort the class's name
     * @param statement the bytes to run. Held until the run is over: its request may end, and let go of them,
     *     in the turn in which the connection comes up that the run waits for
     * @param times how long it may take, and by when it must have begun
     */
    public QueryAttempt(
            String id, String sort, ByteBuf statement, Timing times, double grantMb, int priority, Listener listener) {
        this.id = id;
        this.sort = sort;
        this.statement = statement.retain();
        long now = System.nanoTime();
        this.until = now + times.timeoutMs() * NANOS;
        this.beginBy = now + Math.min(times.startWithinMs(), times.timeoutMs()) * NANOS;
        this.grantMb = (long) Math.ceil(grantMb);
        this.priority = priority;
        this.listener = listener;
    }

    long patienceMs() {
        return Math.max(1, (until - System.nanoTime()) / 1_000_000);
    }

    /** Returns whether it is too late to send it: it waited for a connection. */
    boolean isTooLate(long nanoTime) {
        return beginBy - nanoTime < 0;
    }

    /** Returns whether its time is over, so that its id will not be used again. */
    boolean isPast(long nanoTime) {
        return until - nanoTime < 0;
    }

    /** Returns whether this is a second copy of what is here. */
    boolean has(Reply reply) {
        if (pages == null || reply.word() == Reply.Word.HIT) {
            return pages != null;
        }
        int index = reply.word() == Reply.Word.PART ? reply.number("index", -1) : -1;
        return index >= 0 && index < pages.length && pages[index] != null;
    }

    /** Returns whether the first page is here. */
    boolean paging() {
        return pages != null;
    }

    /** Takes page 0 in. */
    void open(int total, ByteBuf page) {
        if (pages != null || total < 1 || total > MOST_PAGES) {
            page.release();
            throw new MalformedReplyException("result of " + total + " pages");
        }
        pages = new ByteBuf[total];
        missing = total;
        put(0, page);
    }

    /** Takes a page in. */
    void put(int index, ByteBuf page) {
        if (pages == null
                || index < 0
                || index >= pages.length
                || page.readableBytes() > LARGEST_PAGE
                || bytes + page.readableBytes() > LARGEST_RESULT
                || !Rows.areWhole(page)) {
            page.release();
            throw new MalformedReplyException("page " + index + " was not asked for or holds no rows");
        }
        pages[index] = page;
        bytes += page.readableBytes();
        missing--;
    }

    boolean whole() {
        return missing == 0;
    }

    int total() {
        return pages.length;
    }

    /** Ends the run; what comes after the first end is passed over. */
    void end(AttemptEnd end) {
        if (!finish()) {
            return;
        }
        ByteBuf result = null;
        if (end == AttemptEnd.SERVED) {
            CompositeByteBuf all = Unpooled.compositeBuffer(pages.length);
            all.addComponents(true, pages);
            pages = null;
            result = all;
        }
        dropPages();
        listener.ended(end.outcome, result);
    }

    /** Takes a note on it in; behind its end it is nobody's. */
    void note(Reply reply) {
        if (!over) {
            ProgressReports.read(reply.fields(), listener);
        }
    }

    /** Gives the run up without a word to anyone. */
    void drop() {
        if (finish()) {
            dropPages();
        }
    }

    /** Returns whether it was not over before. */
    private boolean finish() {
        boolean first = !over;
        over = true;
        if (first) {
            statement.release();
        }
        return first;
    }

    private void dropPages() {
        if (pages != null) {
            for (ByteBuf page : pages) {
                if (page != null) {
                    page.release();
                }
            }
            pages = null;
        }
    }
}
