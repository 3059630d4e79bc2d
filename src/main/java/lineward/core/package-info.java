/**
 * The core of a front end, independent of any protocol. {@link lineward.core.Coordinator} drives one
 * scheduler for one pool of engines; it owns the table of open requests, the deadlines, the engines' numbers
 * and the health checks in flight. Each protocol implements {@link lineward.core.Forwarder}, which executes
 * the coordinator's commands.
 *
 * <p>It may use {@code scheduling} only. Everything runs on the event loop and nothing blocks.
 *
 * <p>Bounds: the capacity of the request table; one timeout for each attempt in flight; one health check for
 * each engine. The design is described in {@code docs/architecture.md}.
 */
package lineward.core;
