package lineward.lifecycle;

/**
 * The states of this process, and the transitions that operators and signals cause.
 *
 * <p>The process starts, serves, may be drained, and terminates. A drain may start in any state; a drain that
 * is in effect at SIGTERM can no longer be stopped. {@code TERMINATING_DRAINED} differs from {@code
 * TERMINATING} in that starting a drain has no effect.
 */
enum ProcessState {
    /** Not all protocols listen yet. */
    STARTING,
    /** Not all protocols listen yet, and an operator has started a drain. */
    STARTING_DRAINED,
    /** All protocols listen, and new clients are accepted. */
    SERVING,
    /** An operator is draining the process, which keeps running without clients. */
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

    /** Returns whether the process accepts new clients. */
    boolean isReady() {
        return this == SERVING;
    }

    /** Returns whether an operator's drain is in effect and SIGTERM was not received. */
    boolean isDraining() {
        return this == STARTING_DRAINED || this == DRAINING;
    }

    /** Returns whether SIGTERM was received. */
    boolean isTerminating() {
        return this == TERMINATING || this == TERMINATING_DRAINED;
    }
}
