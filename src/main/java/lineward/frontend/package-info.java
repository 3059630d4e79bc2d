/**
 * The program's interface to a client protocol, and the parts that all protocols need for their clients'
 * connections.
 *
 * <p>Owns the interface {@code ProtocolServer}, by which the process controls each protocol; {@code
 * CoordinatorDriver}, by which a protocol uses its coordinator; the listening sockets; the registry of client
 * connections with its eviction; the graceful close of idle connections; and rate-limited logging. It may use
 * {@code lineward.core} and {@code lineward.scheduling}.
 *
 * <p>Everything runs on the event loop, except that a listener may be bound from any thread. Bounds: the
 * connections of a registry, and the shares of them that may be silent or closing; the time for which a
 * closing connection lingers; the lines logged in a second. The design is described in
 * docs/architecture.md.
 */
package lineward.frontend;
