/**
 * The interface of the scheduling module: {@link lineward.scheduling.SchedulerEvent}s go in, {@link
 * lineward.scheduling.SchedulerAction}s come out, and {@link lineward.scheduling.SchedulerSettings} configure
 * it. The module decides when and where each request of one pool of engines runs. Each of its packages uses
 * only this one and those that follow it here: {@code execution} processes events and carries out decisions,
 * {@code decision} holds the policies, {@code state} the requests, attempts and engines, {@code estimation}
 * the measurements.
 * The module has no I/O, clock or threads and depends on the Java library only. Its memory is bounded by the
 * numbers of admitted requests, listed engines and attempts in flight. {@code docs/architecture.md} describes
 * its design.
 */
package lineward.scheduling;
