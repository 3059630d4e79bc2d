package lineward.engine;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import lineward.core.ByteBudget;

/**
 * Owns the pages of one result until they are detached or released. Incomplete results reserve their bytes
 * from a budget that all of them share. Not thread-safe.
 */
final class ResultPages {
    /** Maximum size of a result. */
    private static final int MAX_RESULT_BYTES = 48_000;

    /** Maximum size of a page. */
    private static final int MAX_PAGE_BYTES = 6_000;
    /** Maximum number of pages of a result; enough for short rows at one row per page. */
    private static final int MAX_PAGES = 1024;

    private final ByteBuf[] pages;
    private final ByteBudget budget;
    private int missingPageCount;
    private int receivedBytes;
    private int reservedBytes;

    private ResultPages(int count, ByteBudget budget) {
        this.budget = budget;
        pages = new ByteBuf[count];
        missingPageCount = count;
    }

    /**
     * Returns a result of that many pages, none of them received.
     *
     * @param budget the bytes that all incomplete results may use
     * @throws MalformedReplyException if the count is out of range
     */
    static ResultPages ofCount(int count, ByteBudget budget) {
        if (count < 1 || count > MAX_PAGES) {
            throw new MalformedReplyException("page count " + count + " is out of range");
        }
        return new ResultPages(count, budget);
    }

    int pageCount() {
        return pages.length;
    }

    boolean isComplete() {
        return missingPageCount == 0;
    }

    /** Returns whether the page at this index was added. */
    boolean contains(int index) {
        return index >= 0 && index < pages.length && pages[index] != null;
    }

    /** Returns whether the index is in range, the size within the limits and each row complete. */
    boolean accepts(int index, ByteBuf page) {
        int bytes = page.readableBytes();
        boolean inRange = index >= 0 && index < pages.length;
        boolean withinBounds = bytes <= MAX_PAGE_BYTES && receivedBytes + bytes <= MAX_RESULT_BYTES;
        return inRange && withinBounds && PageValidator.isValid(page);
    }

    /**
     * Adds a missing page that is acceptable, and takes ownership of it. The last one needs no reservation,
     * since a complete result is detached at once.
     *
     * @return false, and the caller keeps the page, if the budget is exhausted
     */
    boolean add(int index, ByteBuf page) {
        int bytes = page.readableBytes();
        int bytesToReserve = missingPageCount == 1 ? 0 : bytes;
        if (!budget.reserve(bytesToReserve)) {
            return false;
        }
        pages[index] = page;
        receivedBytes += bytes;
        reservedBytes += bytesToReserve;
        missingPageCount--;
        return true;
    }

    /** Returns all pages of a complete result in one buffer, which the caller owns. */
    ByteBuf detach() {
        endReservation();
        CompositeByteBuf result = Unpooled.compositeBuffer(pages.length);
        result.addComponents(true, pages);
        return result;
    }

    private void endReservation() {
        budget.release(reservedBytes);
        reservedBytes = 0;
    }

    /** Releases the pages that were added. */
    void release() {
        endReservation();
        for (ByteBuf page : pages) {
            if (page != null) {
                page.release();
            }
        }
    }
}
