/**
 * What a protocol is to the program, and what all protocols need at their clients' sockets.
 *
 * <p>Owns the interface {@code ProtocolServer}, through which the process steers each protocol, the listening
 * sockets, the registry of client connections with its eviction, the orderly close of idle connections, and
 * logging at a bounded rate. Uses {@code lineward.core} for the coordinator alone.
 *
 * <p>Everything runs on the event loop; binding a listener may be called from any thread. Bounds: the
 * connections of a registry and the shares of it that silent and closing ones may fill, the time a closing
 * connection lingers, and the lines logged a second. Design note: docs/architecture.md.
 */
package lineward.frontend;
