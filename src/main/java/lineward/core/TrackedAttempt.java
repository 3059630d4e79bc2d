package lineward.core;

/** The coordinator's bookkeeping for one attempt of a request. Used on the event loop only. */
final class TrackedAttempt {
    private final int number;
    private final String engineId;
    private AttemptState state = AttemptState.RUNNING;
    /** The timeout of the attempt or, after a cancel, of the cancellation; null if none is set. */
    private DeadlineQueue.Entry deadline;

    TrackedAttempt(int number, String engineId) {
        this.number = number;
        this.engineId = engineId;
    }

    /** Returns the number of the attempt within its request, starting at 0. */
    int number() {
        return number;
    }

    /** Returns the engine's id; null if the engine is no longer known. */
    String engineId() {
        return engineId;
    }

    /** Returns the timeout of the attempt or of its cancellation; null if none is set. */
    DeadlineQueue.Entry deadline() {
        return deadline;
    }

    /** Sets the timeout of the attempt or of its cancellation. The caller must cancel the previous one. */
    void setDeadline(DeadlineQueue.Entry next) {
        deadline = next;
    }

    /** Returns whether the attempt has not ended. */
    boolean isInFlight() {
        return state.isInFlight();
    }

    /** Returns whether the attempt is neither cancelled nor ended. */
    boolean isRunning() {
        return state == AttemptState.RUNNING;
    }

    /** Cancels the attempt; returns whether it was running. */
    boolean cancel() {
        boolean wasRunning = isRunning();
        state = state.cancelled();
        return wasRunning;
    }

    /** Records the end of the attempt. */
    void end() {
        state = state.ended();
    }
}
