package lineward.spool;

/**
 * The state of a spooled result: whether the engine has sent all of it, and whether its lease has expired.
 * Expiry does not release a result that has readers, as each of them has to be notified first. The
 * transition methods return the next state.
 */
enum ResultState {
    /** The engine is still sending the result. */
    RECEIVING(Content.RECEIVING, false),
    /** The engine has sent the whole result. */
    COMPLETE(Content.COMPLETE, false),
    /** The attempt failed, so the missing blocks will never arrive. */
    FAILED(Content.FAILED, false),
    /** Memory and file have been released. */
    RELEASED(Content.RELEASED, false),
    /** The lease expired; the engine is still sending. */
    EXPIRED_RECEIVING(Content.RECEIVING, true),
    /** The lease expired; the engine has sent the whole result. */
    EXPIRED_COMPLETE(Content.COMPLETE, true),
    /** The lease expired; the attempt failed, so the missing blocks will never arrive. */
    EXPIRED_FAILED(Content.FAILED, true),
    /** The lease expired; memory and file have been released. */
    EXPIRED_RELEASED(Content.RELEASED, true);

    private enum Content {
        RECEIVING,
        COMPLETE,
        FAILED,
        RELEASED
    }

    private final Content content;
    private final boolean expired;

    ResultState(Content content, boolean expired) {
        this.content = content;
        this.expired = expired;
    }

    /** Marks the result as complete; has an effect only while the engine is sending. */
    ResultState complete() {
        return content == Content.RECEIVING ? of(Content.COMPLETE, expired) : this;
    }

    /** Marks the attempt as failed; has an effect only while the engine is sending. */
    ResultState fail() {
        return content == Content.RECEIVING ? of(Content.FAILED, expired) : this;
    }

    /** Marks the lease as expired. */
    ResultState expire() {
        return of(content, true);
    }

    /** Marks memory and file as released. */
    ResultState release() {
        return of(Content.RELEASED, expired);
    }

    /**
     * Returns what follows the blocks that a reader has read.
     *
     * @param hasMore whether there are blocks that the reader has not read
     */
    ReadStatus readStatus(boolean hasMore) {
        if (expired) {
            return ReadStatus.EXPIRED;
        }
        if (content == Content.RELEASED) {
            return ReadStatus.FAILED;
        }
        if (hasMore) {
            return ReadStatus.MORE;
        }
        return switch (content) {
            case RECEIVING -> ReadStatus.MORE;
            case COMPLETE -> ReadStatus.END;
            default -> ReadStatus.FAILED;
        };
    }

    private static ResultState of(Content content, boolean expired) {
        return switch (content) {
            case RECEIVING -> expired ? EXPIRED_RECEIVING : RECEIVING;
            case COMPLETE -> expired ? EXPIRED_COMPLETE : COMPLETE;
            case FAILED -> expired ? EXPIRED_FAILED : FAILED;
            case RELEASED -> expired ? EXPIRED_RELEASED : RELEASED;
        };
    }

    boolean isComplete() {
        return content == Content.COMPLETE;
    }

    boolean isFailed() {
        return content == Content.FAILED;
    }

    boolean isReleased() {
        return content == Content.RELEASED;
    }

    boolean isExpired() {
        return expired;
    }
}
