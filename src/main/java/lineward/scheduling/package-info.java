/**
 * What goes into and comes out of the scheduling module: {@link lineward.scheduling.SchedulerEvent}s,
 * {@link lineward.scheduling.SchedulerAction}s and {@link lineward.scheduling.SchedulerSettings}. The module
 * decides when and where each request of one pool of engines runs. Its parts, each of which uses the ones
 * after it only: {@code execution} carries out, {@code decision} holds the rules, {@code state} the requests,
 * attempts and engines, {@code estimation} the measurements. The module has no I/O, clock or threads, uses
 * the Java library only, and its memory is bounded by what is admitted, listed or in flight. Its design is in
 * {@code docs/architecture.md}.
 */
package lineward.scheduling;
