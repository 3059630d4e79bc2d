/**
 * The protocol-independent core of a front end. {@link lineward.core.Coordinator} drives the scheduler of one
 * pool of engines and owns the request table, the deadlines, the engine numbers and the health checks in
 * flight. Each protocol implements {@link lineward.core.Forwarder}, which executes the coordinator's
 * commands. The package also contains what the protocols share: an SQL tokenizer, table groups, a byte budget
 * and the clock.
 *
 * <p>This package may depend on {@code lineward.scheduling} only. All code runs on the event loop and never
 * blocks, except that a {@link lineward.core.MonotonicClock} may be used on any thread.
 *
 * <p>Limits: the capacity of the request table, one timeout per attempt in flight, and one health check in
 * flight per engine. See {@code docs/architecture.md} for the design.
 */
package lineward.core;
