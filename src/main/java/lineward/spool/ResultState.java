package lineward.spool;

/**
 * The state of a spooled result: how much of it the engine has sent, and whether its lease has expired. An
 * expired result remains until its last reader closes it, as each reader has to be notified. Each method
 * returns the state after its event.
 */
enum ResultState {
    /** The engine is still sending. */
    GROWING(Content.GROWING, false),
    /** The engine has sent all of it. */
    COMPLETE(Content.COMPLETE, false),
    /** The attempt failed: the missing blocks never come. */
    BROKEN(Content.BROKEN, false),
    /** Memory and file have been released. */
    RELEASED(Content.RELEASED, false),
    /** The lease expired; the engine is still sending. */
    EXPIRED_GROWING(Content.GROWING, true),
    /** The lease expired; the engine has sent all of it. */
    EXPIRED_COMPLETE(Content.COMPLETE, true),
    /** The lease expired; the missing blocks never come. */
    EXPIRED_BROKEN(Content.BROKEN, true),
    /** The lease expired; memory and file have been released. */
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

    /** Memory and file are released. */
    ResultState release() {
        return of(Content.RELEASED, expired);
    }

    /**
     * Returns what a reader finds at its position.
     *
     * @param hasMore whether there are blocks that it has not read
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
