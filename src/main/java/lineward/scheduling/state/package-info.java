/**
 * State of the scheduling module: requests, attempts, engines and classes, with one enum for each lifecycle.
 * A class changes its own fields only, by methods named after what has happened.
 * {@link lineward.scheduling.state.SchedulerContext} holds one scheduler's state and the actions of the
 * present decision. The package uses {@code estimation} and the types of {@code lineward.scheduling}, runs on
 * the scheduler's thread, and holds what is admitted, listed or in flight. The rules are in {@code decision}.
 */
package lineward.scheduling.state;
