/**
 * The admin endpoint and the metrics of this process.
 *
 * <p>Owns the HTTP server on the admin address, its table of paths, the counters of requests and attempts,
 * and their export in the Prometheus text format. Uses {@code lineward.frontend} for the registry of
 * connections and the protocol servers, {@code lineward.core} for coordinators and the tracer, and {@code
 * lineward.spool} for its statistics; an implementation of {@code AdminOperations} carries out the requests.
 *
 * <p>Everything runs on the event loop, except the setup of the metrics. Bounds: concurrent connections, the
 * size of a request's line, headers and body, the time in which a client must send its request and read the
 * response, and a fixed number of counters for each configured class. Design: docs/architecture.md.
 */
package lineward.operations;
