/**
 * Service discovery: keeps the list of engines up to date by long polls.
 * {@link lineward.discovery.DiscoveryClient} is the entry point. It owns the connections to the service and
 * the read of the configuration file with the service's address; {@code PollPolicy} decides when to connect,
 * poll, close and read, without I/O and with the clock passed in. {@link lineward.discovery.EndpointList}
 * owns the last entry of each engine; {@code JournalFormat} maps the wire's fields.
 *
 * <p>The package uses {@code core}, records of {@code scheduling}, Netty and Jackson. It runs on one event
 * loop, except the reads of the file, which have a thread of their own. Bounds: three connections, 4 MB for a
 * response, one read of the file at a time, one warning a second. The design is in
 * {@code docs/service-discovery.md}, an overview in {@code docs/architecture.md}.
 */
package lineward.discovery;
