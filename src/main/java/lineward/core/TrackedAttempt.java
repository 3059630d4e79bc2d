package lineward.core;

/**
 * The coordinator's record of one attempt of a request. Only the coordinator's classes call it, on the event
 * loop.
 */
final class TrackedAttempt {
    private final int number;
    private final String engine;
    private AttemptState state = AttemptState.RUNNING;
    /** Its timeout, or the end of its cancellation; null while neither is set. */
    private DeadlineQueue.Entry deadline;

    TrackedAttempt(int number, String engine) {
        this.number = number;
        this.engine = engine;
    }

    /** Returns its number among the attempts of the request, from 0. */
    int number() {
        return number;
    }

    /** Returns the engine's id; null if the engine is no longer known. */
    String engine() {
        return engine;
    }

    /** Returns the timeout, or the end of the cancellation; null if neither is set. */
    DeadlineQueue.Entry deadline() {
        return deadline;
    }

    /** Sets the timeout, or the end of the cancellation. The caller cancels the earlier deadline. */
    void setDeadline(DeadlineQueue.Entry next) {
        deadline = next;
    }

    /** Returns whether it has not ended. */
    boolean isInFlight() {
        return state.isInFlight();
    }

    /** Returns whether it has neither ended nor been cancelled. */
    boolean isRunning() {
        return state == AttemptState.RUNNING;
    }

    /** Cancels it and returns whether it was running. */
    boolean cancel() {
        boolean wasRunning = isRunning();
        state = state.cancelled();
        return wasRunning;
    }

    /** Records its end. */
    void end() {
        state = state.ended();
    }
}
