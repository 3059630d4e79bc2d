/**
 * The admin endpoint and the metrics of this process.
 *
 * <p>Owns the HTTP server on the admin address, the table of its paths, and the counters of requests and
 * attempts with their Prometheus text. Uses {@code lineward.frontend} for the registry of connections and the
 * protocol servers, {@code lineward.core} for coordinators and the tracer, and {@code lineward.spool} for its
 * statistics; {@code AdminOperations} carries out the requests.
 *
 * <p>Everything runs on the event loop. Bounds: connections at once, the size of a request's line, headers
 * and body, the time in which a request has to be complete, and the counters of each configured class.
 * Design: docs/architecture.md.
 */
package lineward.operations;
