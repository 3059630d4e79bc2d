package lineward.engine;

/**
 * States of an attempt at an engine. An event without a transition from the current state leaves it
 * unchanged; {@link #ENDED} is final.
 */
enum QueryAttemptState {
    /** The request waits for a connection; no part of it was sent. */
    WAITING,
    /** The request was passed to the channel; part of it may have been sent. */
    WRITTEN,
    /** The last byte of the request was written to the socket; the engine may have received all of it. */
    SENT,
    /** The attempt's end was reported, or it was discarded. */
    ENDED;

    /** The request was passed to the channel. */
    QueryAttemptState requestWritten() {
        return this == WAITING ? WRITTEN : this;
    }

    /** The last byte of the request was written to the socket. */
    QueryAttemptState requestSent() {
        return this == WRITTEN ? SENT : this;
    }

    /** The attempt has ended. */
    QueryAttemptState ended() {
        return ENDED;
    }

    /** Returns whether part of the request may have been sent and the attempt has not ended. */
    boolean isRequestWritten() {
        return this == WRITTEN || this == SENT;
    }
}
