/**
 * State of the scheduling module: requests, attempts, engines and classes, with one enum for each lifecycle.
 * Each class modifies only its own fields, in methods named after the events that they record.
 * {@link lineward.scheduling.state.SchedulerContext} holds the state of one scheduler and the actions of the
 * current decision. The package depends on {@code estimation} and the types of {@code lineward.scheduling},
 * and runs on the scheduler's thread. Its memory is bounded by the admitted requests, the listed engines and
 * the attempts in flight. The scheduling rules are in {@code decision}.
 */
package lineward.scheduling.state;
