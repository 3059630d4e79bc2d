/**
 * Service discovery: keeps the list of query engines up to date by long polls of the journal service. {@link
 * lineward.discovery.DiscoveryClient} is what the program sees. It owns the connections to the service and
 * the read of the configuration file that names the service's address; {@code PollPolicy} decides when to
 * connect, poll, close and read, free of I/O and with the clock passed in. {@link
 * lineward.discovery.EndpointList} owns the last known entry of each engine; the journal's field names stand
 * in {@code JournalFormat} alone.
 *
 * <p>The package uses {@code core}, the scheduling package's records, Netty and a JSON parser. All of it runs
 * on one event loop, but for the reads of the file, which have a thread of their own. Its bounds: three
 * connections, 4 MB for a response, one read of the file at a time, one warning a second. The design note is
 * {@code docs/journal.md}, the place in the whole is in {@code docs/architecture.md}.
 */
package lineward.discovery;
