package lineward.engine;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;

/** The pages of one result. It owns those that it has accepted until they are detached or released. */
final class ResultPages {
    /** Most bytes of one result, and of one page of it. */
    private static final int MAX_RESULT_BYTES = 48_000;

    private static final int MAX_PAGE_BYTES = 6_000;
    /** Most pages of one result: short rows, each on a page of its own. */
    private static final int MAX_PAGES = 1024;

    private final ByteBuf[] pages;
    private int missingPages;
    private int receivedBytes;

    private ResultPages(int count) {
        pages = new ByteBuf[count];
        missingPages = count;
    }

    /**
     * Returns an empty result of that many pages.
     *
     * @throws MalformedReplyException if no result may have that many
     */
    static ResultPages ofCount(int count) {
        if (count < 1 || count > MAX_PAGES) {
            throw new MalformedReplyException("result of " + count + " pages");
        }
        return new ResultPages(count);
    }

    int count() {
        return pages.length;
    }

    boolean isComplete() {
        return missingPages == 0;
    }

    boolean contains(int index) {
        return index >= 0 && index < pages.length && pages[index] != null;
    }

    /** Returns whether this page may be added: it is in range, within the bounds and holds complete rows. */
    boolean accepts(int index, ByteBuf page) {
        int bytes = page.readableBytes();
        boolean inRange = index >= 0 && index < pages.length;
        boolean withinBounds = bytes <= MAX_PAGE_BYTES && receivedBytes + bytes <= MAX_RESULT_BYTES;
        return inRange && withinBounds && Rows.areComplete(page);
    }

    /** Adds a page that is acceptable and not here yet, and becomes its owner. */
    void add(int index, ByteBuf page) {
        pages[index] = page;
        receivedBytes += page.readableBytes();
        missingPages--;
    }

    /** Returns all pages of a complete result in one buffer, which the caller releases. */
    ByteBuf detach() {
        CompositeByteBuf result = Unpooled.compositeBuffer(pages.length);
        result.addComponents(true, pages);
        return result;
    }

    void release() {
        for (ByteBuf page : pages) {
            if (page != null) {
                page.release();
            }
        }
    }
}
