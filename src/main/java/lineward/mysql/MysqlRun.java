package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.Map;
import lineward.scheduling.AttemptOutcome;
import lineward.spool.SpooledResult;

/**
 * One attempt at an engine: its work, the reply so far, and who is told. A short reply is held as it is; a
 * longer one goes to the spool, so that the engine is free once its last byte has come.
 */
final class MysqlRun {
    /** Hears of a reply that is too long to be held whole, and of the end. */
    interface Listener {
        /** The work has been written whole to the engine. */
        default void written() {}

        /** Returns where a result goes that is too long to be held here; null: it is not wanted. */
        SpooledResult spool();

        /** Returns whether a result goes to the spool however short it is. */
        default boolean spoolsAll() {
            return false;
        }

        /**
         * The spooled result goes out to the client though it is not whole yet.
         *
         * @return whether the client still wants it
         */
        boolean opened();

        /** @param reply the whole reply where the outcome is OK and it was not spooled, else null */
        void ended(AttemptOutcome outcome, ByteBuf reply);
    }

    /** Bytes of a reply that are held in one piece. */
    private static final int MOST_HELD = 64 * 1024;

    private static final double NANOS = 1e6;

    final Work work;
    /** Settings of the client's session that must hold at the engine. */
    final Map<String, String> settings;

    private final long patienceMs;
    private final Listener listener;
    private final long startedAt = System.nanoTime();
    private ByteBuf held;
    private int heldHead;
    private SpooledResult spooled;
    private boolean open;
    private boolean over;
    private boolean unwanted;
    EngineLink link;

    /** @param patienceMs how long the attempt may take */
    MysqlRun(Work work, Map<String, String> settings, long patienceMs, Listener listener) {
        this.work = work;
        this.settings = settings;
        this.patienceMs = patienceMs;
        this.listener = listener;
    }

    void written() {
        listener.written();
    }

    boolean isOver() {
        return over;
    }

    /** Takes a packet of the reply over. */
    void take(ByteBufAllocator alloc, ByteBuf frame, ReplyTracker.Place place) {
        try {
            if (over || unwanted) {
                return;
            }
            if (spooled != null) {
                spool(frame, frame.readableBytes(), place);
                flow();
            } else {
                hold(alloc, frame, place);
            }
        } finally {
            frame.release();
        }
    }

    private void hold(ByteBufAllocator alloc, ByteBuf frame, ReplyTracker.Place place) {
        if (held == null) {
            held = alloc.heapBuffer(frame.readableBytes());
        }
        held.writeBytes(frame);
        if (place == ReplyTracker.Place.HEAD || place == ReplyTracker.Place.HEAD_END) {
            heldHead = held.readableBytes();
        }
        boolean inRows = place == ReplyTracker.Place.ROW || place == ReplyTracker.Place.ROW_PART;
        if (held.readableBytes() > MOST_HELD && (inRows || place == ReplyTracker.Place.LAST_OK)
                || place == ReplyTracker.Place.HEAD_END && listener.spoolsAll()) {
            beginSpool(place);
        }
    }

    /** What has been held so far goes to the spool, in the blocks in which it would have come there. */
    private void beginSpool(ReplyTracker.Place last) {
        spooled = listener.spool();
        ByteBuf begun = held;
        held = null;
        try {
            if (spooled == null) {
                unwanted = true;
                return;
            }
            spool(begun, heldHead, ReplyTracker.Place.HEAD_END);
            while (begun.isReadable()) {
                int length = Packets.HEAD + begun.getUnsignedMediumLE(begun.readerIndex());
                boolean isLast = length == begun.readableBytes();
                spool(
                        begun,
                        length,
                        isLast
                                ? last
                                : length == Packets.HEAD + Packets.LONGEST
                                        ? ReplyTracker.Place.ROW_PART
                                        : ReplyTracker.Place.ROW);
            }
        } finally {
            begun.release();
        }
        SpooledResult mine = spooled;
        mine.onFlow(() -> {
            if (!over && link != null) {
                link.flow(mine.wantsMore());
            }
        });
        flow();
    }

    private void spool(ByteBuf from, int length, ReplyTracker.Place place) {
        if (place.isLast()) {
            spooled.seal();
        }
        int at = spooled.reserve(length);
        from.readBytes(spooled.buffer(), at, length);
        spooled.took(length, place == ReplyTracker.Place.ROW, place == ReplyTracker.Place.ROW_PART);
        if (place == ReplyTracker.Place.HEAD_END) {
            spooled.seal();
        }
    }

    private void flow() {
        if (!open && spooled.opens((System.nanoTime() - startedAt) / NANOS, patienceMs)) {
            open = true;
            if (!listener.opened()) {
                unwanted = true;
                spooled.breakOff();
            }
        }
        if (!spooled.wantsMore()) {
            link.flow(false);
        }
    }

    /** Ends the run; what comes after the first end is passed over. */
    void end(AttemptOutcome as) {
        if (over) {
            return;
        }
        over = true;
        // Given up amid a long reply: its end comes, but nobody holds the whole of it.
        AttemptOutcome outcome = unwanted || spooled != null && spooled.isGone() ? AttemptOutcome.CANCELLED : as;
        ByteBuf reply = held;
        held = null;
        if (outcome != AttemptOutcome.OK && reply != null) {
            reply.release();
            reply = null;
        }
        if (spooled != null && outcome == AttemptOutcome.OK) {
            spooled.complete();
        } else if (spooled != null) {
            spooled.breakOff();
        }
        listener.ended(outcome, reply);
    }
}
