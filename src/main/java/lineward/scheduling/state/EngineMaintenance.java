package lineward.scheduling.state;

/** An engine's maintenance by operators. It is independent of service discovery and of ejection. */
public enum EngineMaintenance {
    /** No operator has taken the engine out, or it has answered since its release. */
    NONE,
    /** An operator has taken the engine out: it gets no requests. */
    UNDER_MAINTENANCE,
    /** The engine is released and has not answered since. */
    RELEASED;

    EngineMaintenance begin() {
        return UNDER_MAINTENANCE;
    }

    EngineMaintenance release() {
        return RELEASED;
    }

    /** Returns the state after an answer: answers of earlier attempts do not end maintenance. */
    EngineMaintenance answered() {
        return this == RELEASED ? NONE : this;
    }
}
