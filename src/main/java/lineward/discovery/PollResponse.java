package lineward.discovery;

/**
 * A usable response, as far as the poll policy needs it.
 *
 * @param changed whether it had a new event
 * @param closesConnection whether the service closes the connection after it
 */
record PollResponse(boolean changed, boolean closesConnection) {}
