package lineward.mysql.client;

/** The state of an {@link SpooledResultCursor}, and the transitions between its states. */
enum CursorState {
    /** The column definitions have not been sent. */
    OPENING,
    /** More rows may follow, but none are requested. */
    READY,
    /** Requested rows are being sent. */
    FETCHING,
    /** All rows have been sent, but the reply to the current fetch has not ended. */
    FETCHING_LAST,
    /** No rows are left, and none are requested. */
    EXHAUSTED,
    /** The result is released; nothing more is sent. */
    CLOSED;

    /** An event that changes the state. */
    enum Event {
        /** The column definitions have been sent. */
        COLUMNS_SENT,
        /** Rows are requested. */
        FETCH_REQUESTED,
        /** The reader has reached the end of the rows: none remain to be sent. */
        NO_ROWS_LEFT,
        /** The requested rows have been sent. */
        FETCH_COMPLETED,
        /** The cursor is closed. */
        CLOSE_REQUESTED
    }

    /** Returns whether requested rows are being sent. */
    boolean isFetching() {
        return this == FETCHING || this == FETCHING_LAST;
    }

    /** Returns whether no fetch can return further rows: none are left, or the cursor is closed. */
    boolean isDone() {
        return this == FETCHING_LAST || this == EXHAUSTED || this == CLOSED;
    }

    /** Returns whether the client waits for a reply. */
    boolean isReplyPending() {
        return this == OPENING || isFetching();
    }

    /**
     * Returns the state after the event.
     *
     * @throws IllegalStateException if the event is not possible in this state
     */
    CursorState after(Event event) {
        return switch (event) {
            case COLUMNS_SENT -> require(this == OPENING, event, READY);
            case FETCH_REQUESTED -> afterFetchRequested();
            case NO_ROWS_LEFT -> afterNoRowsLeft();
            case FETCH_COMPLETED -> require(this == FETCHING, event, READY);
            case CLOSE_REQUESTED -> CLOSED;
        };
    }

    private CursorState afterFetchRequested() {
        if (this == EXHAUSTED) {
            return FETCHING_LAST;
        }
        return require(this == READY, Event.FETCH_REQUESTED, FETCHING);
    }

    private CursorState afterNoRowsLeft() {
        if (this == READY) {
            return EXHAUSTED;
        }
        return require(this == FETCHING, Event.NO_ROWS_LEFT, FETCHING_LAST);
    }

    private CursorState require(boolean possible, Event event, CursorState next) {
        if (!possible) {
            throw new IllegalStateException("event " + event + " is not possible in state " + this);
        }
        return next;
    }
}
