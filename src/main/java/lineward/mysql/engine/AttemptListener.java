package lineward.mysql.engine;

import io.netty.buffer.ByteBuf;
import lineward.scheduling.AttemptOutcome;
import lineward.spool.SpooledResult;

/** Is notified of the progress and the end of one attempt. All methods are called on the event loop. */
public interface AttemptListener {
    /** A listener for attempts whose reply is not needed: ignores the progress and releases the reply. */
    AttemptListener DISCARD_REPLY = new AttemptListener() {
        @Override
        public SpooledResult createSpooledResult() {
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

    /** Called when the attempt's command has been written to the engine's socket. */
    default void commandWritten() {}

    /** Called when the reply must be spooled; returns a new spooled result, or null to discard the reply. */
    SpooledResult createSpooledResult();

    /** Returns whether a reply with rows is spooled regardless of its length. */
    default boolean alwaysSpools() {
        return false;
    }

    /**
     * Called when the client may start reading the spooled result, which is not complete yet.
     *
     * @return whether the client still waits for the result; if not, the rest of the reply is discarded
     */
    boolean responseStarted();

    /**
     * Called once, when the attempt has ended.
     *
     * @param reply the complete reply if the outcome is OK and the reply was not spooled, else null; the
     *     listener must release it
     */
    void ended(AttemptOutcome outcome, ByteBuf reply);
}
