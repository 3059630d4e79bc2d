package lineward.discovery;

/**
 * The properties of a valid response on which {@link PollPolicy} decides.
 *
 * @param hasNewEvent whether it contained a new event
 * @param closesConnection whether the service closes the connection after this response
 */
record PollResponse(boolean hasNewEvent, boolean closesConnection) {}
