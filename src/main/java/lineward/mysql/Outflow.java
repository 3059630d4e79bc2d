package lineward.mysql;

import lineward.spool.ReadState;

/** A reply that is sent to a client from the spool, at the speed at which the client reads it. */
interface Outflow {
    /** Is called when the reply, or a part of it, has ended. */
    @FunctionalInterface
    interface Ending {
        /**
         * The reply has ended, or pauses until the next fetch.
         *
         * @param how why it ended; MORE: a fetch may follow
         * @param sequence number that the next packet of this reply would have; 0: none may follow
         */
        void ended(ReadState how, int sequence);
    }

    /** Sends what the client can take; to be called when it may take more. */
    void resume();

    /** Releases the spooled result; nothing more is sent. */
    void close();
}
