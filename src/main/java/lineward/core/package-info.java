/**
 * The core of a front end, free of any protocol: {@link lineward.core.Coordinator} drives one scheduler for
 * one pool of engines and owns the table of open requests, the deadlines, the engines' numbers and the health
 * checks in flight. {@link lineward.core.Forwarder} is what each protocol implements to carry commands out.
 * The package uses the scheduling package alone, runs on the event loop, and never blocks. Requests are
 * bounded by the table's capacity, deadlines by the attempts and timers in flight. See {@code
 * docs/architecture.md}.
 */
package lineward.core;
