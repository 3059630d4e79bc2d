/**
 * The decision module: when and where each request of one pool of engines runs, free of I/O. It owns all
 * state of engines, requests and classes that decisions rest on. {@link lineward.scheduling.Scheduler} takes
 * {@link lineward.scheduling.SchedulerEvent}s and gives {@link lineward.scheduling.SchedulerAction}s; {@link
 * lineward.scheduling.SpeculativeScheduler} hands each event to the class with the mechanism that it
 * concerns. Those classes hold every decision and are listed as {@code policy} in {@code
 * deploy/balancer.toml}; beside them stand the records and the estimators that only measure. It uses nothing
 * but the Java library, runs on the thread that calls it and keeps no more than what is admitted, listed or
 * in flight. Its design is told in {@code docs/architecture.md}.
 */
package lineward.scheduling;
