package lineward.discovery;

/**
 * What the poll policy has to know of a usable response.
 *
 * @param changed whether it brought an event that was not known
 * @param closesConnection whether the service closes the connection behind it
 */
record PollResponse(boolean changed, boolean closesConnection) {}
