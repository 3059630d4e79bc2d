package lineward.core;

/**
 * What a planner asks of the forwarders.
 *
 * @param <X> the front's own record of a request
 */
public sealed interface Command<X> {
    /**
     * Start an attempt and report its end to {@link Planner#ended}.
     *
     * @param patienceMs how long the attempt may take
     * @param beginWithinMs behind that it must not go out any more, and counts as never run
     * @param grantMb memory to grant; 0 leaves it to the engine
     */
    record Start<X>(
            X exchange,
            long request,
            int attempt,
            String engine,
            long patienceMs,
            long beginWithinMs,
            double grantMb,
            int priority)
            implements Command<X> {}

    /** Give an attempt up; the planner itself books its end. */
    record Stop<X>(X exchange, long request, int attempt, String engine) implements Command<X> {}

    /** Give a running attempt a new priority. */
    record Reprioritise<X>(X exchange, long request, int attempt, String engine, int priority) implements Command<X> {}

    /** Ask an engine how it is; its answer goes to {@link Planner#probed}. */
    record Probe<X>(String engine) implements Command<X> {}

    /** Send these bytes to every other front end of the tier; they may be lost. */
    record Announce<X>(byte[] octets) implements Command<X> {}

    /** Final answer: refused, harmless to try again after the time given (0: no advice). */
    record Refuse<X>(X exchange, long retryAfterMs) implements Command<X> {}

    /** Final answer: failed. */
    record Fail<X>(X exchange) implements Command<X> {}
}
