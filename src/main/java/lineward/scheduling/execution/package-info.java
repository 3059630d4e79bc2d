/**
 * Carries out the decisions of the scheduling module: processes events, asks the policies of {@code
 * decision}, updates {@code state} and emits actions. It has no policies of its own. The entry point is
 * {@link lineward.scheduling.execution.SpeculativeScheduler}; everything runs on the thread that calls it,
 * and the queue is bounded by the number of requests that the coordinator admits.
 */
package lineward.scheduling.execution;
