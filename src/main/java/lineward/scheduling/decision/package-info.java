/**
 * The rules of the scheduling module, one class for each mechanism and one method for each rule. The classes
 * read and change {@code state}, draw random numbers and emit actions through
 * {@link lineward.scheduling.state.SchedulerContext}; they have no I/O, clock or threads. {@code execution}
 * asks them and carries out what they decide. All classes are listed as {@code policy} in
 * {@code deploy/balancer.toml}; {@code docs/architecture.md} lists which rule is where.
 */
package lineward.scheduling.decision;
