/**
 * The rules of the scheduling module: one class for each mechanism and one method for each rule. The classes
 * read and change {@code state}, and draw random numbers and emit actions through
 * {@link lineward.scheduling.state.SchedulerContext}; they do no I/O, read no clock and start no threads.
 * {@code execution} queries them and carries out their decisions. All classes are listed as {@code policy} in
 * {@code deploy/balancer.toml}; {@code docs/architecture.md} lists the method of each rule.
 */
package lineward.scheduling.decision;
