package lineward.scheduling;

/** State of an engine's process as service discovery lists it. */
public enum EndpointState {
    /** It takes requests. */
    READY,
    /** It completes what it has and takes nothing new. */
    DRAINING,
    /** Its process has ended. */
    GONE
}
