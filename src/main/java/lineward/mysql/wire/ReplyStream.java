package lineward.mysql.wire;

/** A reply that is sent in parts, as fast as the client reads it. */
public interface ReplyStream {
    /** Sends packets while the channel is writable; called again when it becomes writable. */
    void resume();

    /** Stops sending and releases the spooled result. */
    void close();
}
