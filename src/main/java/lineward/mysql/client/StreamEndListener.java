package lineward.mysql.client;

import java.util.OptionalInt;
import lineward.spool.ReadState;

/** Receives the end, or a pause, of a {@link lineward.mysql.wire.ReplyStream}. */
@FunctionalInterface
interface StreamEndListener {
    /**
     * The reply has ended, or a cursor pauses until the next fetch.
     *
     * @param state why the reply ended; MORE: a fetch may follow
     * @param errorSequence sequence number for an error packet; empty if the reply is complete
     */
    void ended(ReadState state, OptionalInt errorSequence);
}
