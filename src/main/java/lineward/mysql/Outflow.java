package lineward.mysql;

import lineward.spool.SpooledResult;

/** Something that flows to a client from the spool, at the client's speed. */
interface Outflow {
    /** Hears how it ended. */
    @FunctionalInterface
    interface Ending {
        /** @param sequence number that the next packet of this reply would have */
        void over(SpooledResult.Ahead how, int sequence);
    }

    /** Sends what the client has room for; to be called when it may have more. */
    void move();

    /** Nothing more is wanted. */
    void close();
}
