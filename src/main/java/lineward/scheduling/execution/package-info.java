/**
 * Carries out what the scheduling module decides: takes events in, asks the policies of {@code decision},
 * changes {@code state} and emits actions. It holds no rule of its own.
 * {@link lineward.scheduling.execution.SpeculativeScheduler} is the way in; all runs on the thread that calls
 * it, and the queue is bounded by the requests that the coordinator admits.
 */
package lineward.scheduling.execution;
