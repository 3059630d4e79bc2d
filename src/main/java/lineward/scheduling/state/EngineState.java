package lineward.scheduling.state;

import lineward.scheduling.EndpointState;

/**
 * What an engine is to new requests. It follows from three independent lifecycles: listing (service
 * discovery), maintenance (operators) and health (outlier detection). Where several exclude the engine, the
 * first counts.
 */
public enum EngineState {
    /** Service discovery does not list the engine, or its process has ended. */
    GONE,
    /** An operator has taken the engine out. */
    UNDER_MAINTENANCE,
    /** The outlier detector has ejected the engine; it gets recovery probes only. */
    EJECTED,
    /** The engine completes its attempts in flight and gets no new ones. */
    DRAINING,
    /** The engine gets requests. */
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

    /** Returns whether a listed engine gets no requests because of its health or an operator. */
    public boolean isExcluded() {
        return this == UNDER_MAINTENANCE || this == EJECTED;
    }
}
