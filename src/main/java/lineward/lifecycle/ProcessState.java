package lineward.lifecycle;

/**
 * The states of this process, and the transitions that its start, operators and SIGTERM cause.
 *
 * <p>The process starts, serves, may be drained, and terminates. A drain may start in any state; after
 * SIGTERM it can't be stopped. {@code TERMINATING_DRAINED} differs from {@code TERMINATING} only in that
 * starting another drain has no effect.
 */
enum ProcessState {
    /** Not all protocols listen yet. */
    STARTING,
    /** Not all protocols listen yet, and an operator has started a drain. */
    STARTING_DRAINED,
    /** All protocols listen, and new clients are welcome. */
    SERVING,
    /** An operator has started a drain: clients have to leave, and the process keeps running. */
    DRAINING,
    /** SIGTERM was received: open requests are completed. */
    TERMINATING,
    /** SIGTERM was received, and an operator started a drain before or after it. */
    TERMINATING_DRAINED;

    /** Returns the state once all protocols listen. */
    ProcessState afterListening() {
        return switch (this) {
            case STARTING -> SERVING;
            case STARTING_DRAINED -> DRAINING;
            default -> this;
        };
    }

    /** Returns the state once an operator has started a drain; the same state if one is in effect. */
    ProcessState afterDrainStarted() {
        return switch (this) {
            case STARTING -> STARTING_DRAINED;
            case SERVING -> DRAINING;
            case TERMINATING -> TERMINATING_DRAINED;
            default -> this;
        };
    }

    /** Returns the state once an operator has stopped a drain; the same state if there is none to stop. */
    ProcessState afterDrainStopped() {
        return switch (this) {
            case STARTING_DRAINED -> STARTING;
            case DRAINING -> SERVING;
            default -> this;
        };
    }

    /** Returns the state after SIGTERM. */
    ProcessState afterTermination() {
        return switch (this) {
            case STARTING, SERVING, TERMINATING -> TERMINATING;
            case STARTING_DRAINED, DRAINING, TERMINATING_DRAINED -> TERMINATING_DRAINED;
        };
    }

    /** Returns whether new clients are welcome. */
    boolean isReady() {
        return this == SERVING;
    }

    /** Returns whether an operator's drain is in effect and SIGTERM has not been received. */
    boolean isDraining() {
        return this == STARTING_DRAINED || this == DRAINING;
    }

    /** Returns whether SIGTERM was received. */
    boolean isTerminating() {
        return this == TERMINATING || this == TERMINATING_DRAINED;
    }
}
