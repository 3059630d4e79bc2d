/**
 * The lifecycle of this process: start, drain, graceful shutdown and hot restart.
 *
 * <p>Owns the process state with its transitions, operators' maintenance commands, the files that the
 * processes of a hot restart share, the inherited listening socket, and the timer of periodic tasks. Uses
 * {@code lineward.frontend} to control the protocol servers and implements the operations of {@code
 * lineward.operations}.
 *
 * <p>Everything runs on the event loop, except the timer, the call that waits for the end of a shutdown, and
 * the accepts on an inherited socket, each of which has its own thread. Bounds: the schedule of a drain, the
 * shutdown deadline, and the size and age of the files read. Design: docs/architecture.md.
 */
package lineward.lifecycle;
