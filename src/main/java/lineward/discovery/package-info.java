/**
 * Service discovery client: keeps the list of engines up to date by long polling.
 *
 * <p>{@link lineward.discovery.DiscoveryClient} is the entry point. It owns the connections to the service
 * and reads the service's address from the configuration file. {@code PollPolicy} decides when to connect,
 * poll, close a connection and read the file; it does no I/O and gets the time as a parameter. {@link
 * lineward.discovery.EndpointList} holds the last entry of each engine; {@code JournalFormat} maps the wire
 * format.
 *
 * <p>The package uses {@code core}, records of {@code scheduling}, Netty and Jackson. It runs on one event
 * loop, except the reads of the file, which have a separate thread. Bounds: eight connections, 4 MB for a
 * response, 12 MB for all incomplete ones, one read of the file at a time, one warning a second. The design
 * is described in {@code docs/service-discovery.md}, with an overview in {@code docs/architecture.md}.
 */
package lineward.discovery;
