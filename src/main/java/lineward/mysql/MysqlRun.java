package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import peatwick.Front;

/** One attempt at an engine: its work, the reply so far, and who is told. */
final class MysqlRun {
    /** Hears of a reply that is too long to be held, and of the end. */
    interface Listener {
        /** The work has been written whole to the engine. */
        default void written() { }

        /**
         * The reply is too long to be held: from now on it is passed on as it comes.
         *
         * @return whether the client still wants it
         */
        boolean opened(MysqlRun run);

        /** Bytes of an opened reply, whole packets; the listener's to release. */
        void more(ByteBuf packets);

        /** @param reply the whole reply where the outcome is OK and it was held, else null */
        void ended(Front.Outcome outcome, ByteBuf reply);
    }

    /** Bytes of a reply that are held, so that a broken attempt can be made again without a trace. */
    private static final int MOST_HELD = 64 * 1024;

    final Work work;
    private final Listener listener;
    private ByteBuf held;
    private boolean open;
    private boolean over;
    private boolean unwanted;
    EngineLink link;

    MysqlRun(Work work, Listener listener) {
        this.work = work;
        this.listener = listener;
    }

    void written() {
        listener.written();
    }

    boolean isOver() {
        return over;
    }

    /** Takes a packet of the reply over. */
    void take(ByteBufAllocator alloc, ByteBuf frame) {
        if (over || unwanted) {
            frame.release();
            return;
        }
        if (open) {
            listener.more(frame);
            return;
        }
        if (held == null) {
            held = alloc.heapBuffer(frame.readableBytes());
        }
        held.writeBytes(frame);
        frame.release();
        if (held.readableBytes() > MOST_HELD) {
            open = true;
            ByteBuf begun = held;
            held = null;
            if (listener.opened(this)) {
                listener.more(begun);
            } else {
                unwanted = true;
                begun.release();
            }
        }
    }

    /** Ends the run; what comes after the first end is passed over. */
    void end(Front.Outcome as) {
        if (over) {
            return;
        }
        over = true;
        // Given up amid a long reply: its end comes, but nobody holds the whole of it.
        Front.Outcome outcome = unwanted ? Front.Outcome.CANCELLED : as;
        ByteBuf reply = held;
        held = null;
        if (outcome != Front.Outcome.OK && reply != null) {
            reply.release();
            reply = null;
        }
        listener.ended(outcome, reply);
    }
}
