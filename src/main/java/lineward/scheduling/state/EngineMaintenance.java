package lineward.scheduling.state;

/** The maintenance states of an engine, independent of service discovery and ejection. */
public enum EngineMaintenance {
    /** The engine is not under maintenance; if it was, an attempt has succeeded since its release. */
    NONE,
    /** An operator has taken the engine out of service: it gets no requests. */
    UNDER_MAINTENANCE,
    /** An operator has released the engine, and no attempt has succeeded since. */
    RELEASED;

    EngineMaintenance begin() {
        return UNDER_MAINTENANCE;
    }

    EngineMaintenance release() {
        return RELEASED;
    }

    /** Returns the state after a successful attempt. Attempts sent before maintenance do not end it. */
    EngineMaintenance attemptSucceeded() {
        return this == RELEASED ? NONE : this;
    }
}
