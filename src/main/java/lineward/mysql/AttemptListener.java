package lineward.mysql;

import io.netty.buffer.ByteBuf;
import lineward.scheduling.AttemptOutcome;
import lineward.spool.SpooledResult;

/** Is notified of the progress and the end of one attempt. */
interface AttemptListener {
    /** The listener of an attempt whose reply nobody reads. */
    AttemptListener DISCARD_REPLY = new AttemptListener() {
        @Override
        public SpooledResult openSpool() {
            return null;
        }

        @Override
        public boolean responseStarted() {
            return false;
        }

        @Override
        public void ended(AttemptOutcome outcome, ByteBuf reply) {
            if (reply != null) {
                reply.release();
            }
        }
    };

    /** The command has been written completely to the engine. */
    default void commandWritten() {}

    /** Returns where a result is spooled that is too long to be buffered; null if it is not wanted. */
    SpooledResult openSpool();

    /** Returns whether a result is spooled however short it is. */
    default boolean alwaysSpools() {
        return false;
    }

    /**
     * The spooled result is sent to the client though it is not complete yet.
     *
     * @return whether the client still wants it
     */
    boolean responseStarted();

    /**
     * The attempt has ended; this comes once.
     *
     * @param reply the complete reply, which the listener must release, where the outcome is OK and it was
     *     not spooled; else null
     */
    void ended(AttemptOutcome outcome, ByteBuf reply);
}
