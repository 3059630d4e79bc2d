package lineward.mysql.client;

import java.util.OptionalInt;
import lineward.spool.ReadStatus;

/** Is notified when a {@link lineward.mysql.wire.ReplyStream} ends or pauses. */
@FunctionalInterface
interface StreamEndListener {
    /**
     * Handles the end of a reply, or the pause of a cursor until the next fetch.
     *
     * @param readState END, FAILED or EXPIRED if the reply has ended; MORE if the client may fetch more rows
     * @param errorSequence sequence number for an error packet if the state is FAILED or EXPIRED; ignored
     *     otherwise
     */
    void ended(ReadStatus readState, OptionalInt errorSequence);
}
