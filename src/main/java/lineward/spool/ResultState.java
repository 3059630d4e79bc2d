package lineward.spool;

/**
 * The state of a spooled result: how much of it has come, and whether its lease has expired. An expired
 * result remains until its last reader has left, as each reader has to be notified.
 */
enum ResultState {
    /** The engine still sends. */
    GROWING(Content.GROWING, false),
    /** All of it is here. */
    COMPLETE(Content.COMPLETE, false),
    /** What is missing will never come. */
    BROKEN(Content.BROKEN, false),
    /** It has been given back, and nothing of it is left. */
    RELEASED(Content.RELEASED, false),
    /** Its lease expired while the engine still sends. */
    EXPIRED_GROWING(Content.GROWING, true),
    /** Its lease expired, and all of it is here. */
    EXPIRED_COMPLETE(Content.COMPLETE, true),
    /** Its lease expired, and what is missing will never come. */
    EXPIRED_BROKEN(Content.BROKEN, true),
    /** Its lease expired, and it has been given back. */
    EXPIRED_RELEASED(Content.RELEASED, true);

    private enum Content {
        GROWING,
        COMPLETE,
        BROKEN,
        RELEASED
    }

    private final Content content;
    private final boolean expired;

    ResultState(Content content, boolean expired) {
        this.content = content;
        this.expired = expired;
    }

    /** The engine has sent all of it; only a growing result can become complete. */
    ResultState complete() {
        return content == Content.GROWING ? of(Content.COMPLETE, expired) : this;
    }

    /** The attempt failed; only a growing result can break. */
    ResultState fail() {
        return content == Content.GROWING ? of(Content.BROKEN, expired) : this;
    }

    /** The lease expired. */
    ResultState expire() {
        return of(content, true);
    }

    /** All that was stored of it is given back. */
    ResultState release() {
        return of(Content.RELEASED, expired);
    }

    /**
     * Returns what lies ahead of a reader.
     *
     * @param hasMore whether parts have come that it has not read
     */
    ReadState readState(boolean hasMore) {
        if (expired) {
            return ReadState.EXPIRED;
        }
        if (content == Content.RELEASED) {
            return ReadState.BROKEN;
        }
        if (hasMore) {
            return ReadState.MORE;
        }
        return switch (content) {
            case GROWING -> ReadState.MORE;
            case COMPLETE -> ReadState.END;
            default -> ReadState.BROKEN;
        };
    }

    private static ResultState of(Content content, boolean expired) {
        return switch (content) {
            case GROWING -> expired ? EXPIRED_GROWING : GROWING;
            case COMPLETE -> expired ? EXPIRED_COMPLETE : COMPLETE;
            case BROKEN -> expired ? EXPIRED_BROKEN : BROKEN;
            case RELEASED -> expired ? EXPIRED_RELEASED : RELEASED;
        };
    }

    boolean isComplete() {
        return content == Content.COMPLETE;
    }

    boolean isBroken() {
        return content == Content.BROKEN;
    }

    boolean isReleased() {
        return content == Content.RELEASED;
    }

    boolean isExpired() {
        return expired;
    }
}
