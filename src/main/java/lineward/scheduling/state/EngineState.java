package lineward.scheduling.state;

import lineward.scheduling.EndpointState;

/**
 * The state of an engine with respect to new requests. It is derived from three independent lifecycles:
 * listing (service discovery), maintenance (operators) and health (outlier detection). If several states
 * apply, the first one in the order below takes precedence.
 */
public enum EngineState {
    /** Service discovery does not list the engine, or its process has ended. */
    GONE,
    /** An operator has taken the engine out of service. */
    UNDER_MAINTENANCE,
    /**
     * The outlier detector has ejected the engine. It gets recovery probes, and other requests only if too
     * few engines are healthy.
     */
    EJECTED,
    /** The engine completes its attempts in flight and accepts no new ones. */
    DRAINING,
    /** The engine accepts requests. */
    READY;

    static EngineState of(EndpointState listing, EngineMaintenance maintenance, boolean ejected) {
        if (listing == EndpointState.GONE) {
            return GONE;
        }
        if (maintenance == EngineMaintenance.UNDER_MAINTENANCE) {
            return UNDER_MAINTENANCE;
        }
        if (ejected) {
            return EJECTED;
        }
        return listing == EndpointState.DRAINING ? DRAINING : READY;
    }

    /** Returns whether a listed engine is excluded by an operator or by outlier detection. */
    public boolean isExcluded() {
        return this == UNDER_MAINTENANCE || this == EJECTED;
    }
}
