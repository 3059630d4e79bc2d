package lineward.scheduling;

/** State of an engine's process as service discovery lists it. */
public enum EndpointState {
    /** It accepts requests. */
    READY,
    /** It completes its open requests and accepts no new ones. */
    DRAINING,
    /** Its process has ended. */
    GONE
}
