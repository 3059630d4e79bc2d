/**
 * The interface between the process and its protocol servers, and code that all protocol servers share.
 *
 * <p>Contains {@code ProtocolServer}, with which the process controls a protocol server; {@code
 * CoordinatorDriver}, with which a protocol server uses its coordinator; the listening sockets; the registry
 * of client connections, which evicts connections above its capacity; the budget for the bytes of incomplete
 * messages; the graceful close of idle connections; and rate-limited logging. This package may depend on
 * {@code lineward.core} and {@code lineward.scheduling}.
 *
 * <p>All code runs on the event loop, except that a listener may be bound from any thread and channels may be
 * closed from any thread. Limits: the connections of a registry, the bytes of incomplete messages, and the
 * fractions of them that may be silent or closing; the time for which a closing connection lingers; the lines
 * logged per second. See {@code docs/architecture.md} for the design.
 */
package lineward.frontend;
