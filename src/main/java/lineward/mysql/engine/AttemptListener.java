package lineward.mysql.engine;

import io.netty.buffer.ByteBuf;
import lineward.scheduling.AttemptOutcome;
import lineward.spool.SpooledResult;

/** Receives the progress and the end of one attempt. All calls come on the event loop. */
public interface AttemptListener {
    /** Ignores the progress and releases the reply. */
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

    /** The command has been written to the engine's socket. */
    default void commandWritten() {}

    /** Opens the spooled result of a reply that exceeds the buffer; null if the reply is not wanted. */
    SpooledResult openSpool();

    /** Returns whether the reply is spooled regardless of its length. */
    default boolean alwaysSpools() {
        return false;
    }

    /**
     * The client may read the spooled result, which is not complete yet.
     *
     * @return whether the client still waits for the result
     */
    boolean responseStarted();

    /**
     * The attempt has ended; called once.
     *
     * @param reply the complete reply, which the listener must release, if the outcome is OK and the reply
     *     was not spooled; else null
     */
    void ended(AttemptOutcome outcome, ByteBuf reply);
}
