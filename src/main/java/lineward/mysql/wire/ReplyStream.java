package lineward.mysql.wire;

/** A reply that is sent in parts, at the speed at which the client reads. */
public interface ReplyStream {
    /** Sends as much as the channel accepts; called again when the channel becomes writable. */
    void resume();

    /** Releases the spooled result; nothing more is sent. */
    void close();
}
