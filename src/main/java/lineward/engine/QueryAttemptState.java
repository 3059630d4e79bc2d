package lineward.engine;

/**
 * States of an attempt at an engine. A transition that a state does not name leaves it as it is; {@link
 * #ENDED} is final.
 */
enum QueryAttemptState {
    /** Its request waits for a connection: nothing of it was sent. */
    WAITING,
    /** Its request was passed to the channel: a part of it may have been sent. */
    WRITTEN,
    /** The socket has taken the last byte of its request: the engine may have received all of it. */
    SENT,
    /** Its end was reported, or it was discarded. */
    ENDED;

    /** The request is passed to the channel. */
    QueryAttemptState requestWritten() {
        return this == WAITING ? WRITTEN : this;
    }

    /** The socket has taken the last byte of the request. */
    QueryAttemptState requestSent() {
        return this == WRITTEN ? SENT : this;
    }

    /** The attempt ends. */
    QueryAttemptState ended() {
        return ENDED;
    }

    /** Returns whether a part of the request may have been sent and the attempt has not ended. */
    boolean isRequestWritten() {
        return this == WRITTEN || this == SENT;
    }
}
