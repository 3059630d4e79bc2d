package lineward.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The coordinator's record of one admitted request. Only the coordinator's classes call it, on the event
 * loop. Times are milliseconds of the coordinator's clock.
 *
 * @param <X> the protocol's own record of a request
 */
final class TrackedRequest<X> {
    private static final int DEFAULT_PRIORITY = 1;
    private static final double ENGINE_DECIDES_MEMORY = 0;

    private final X exchange;
    private final double deadlineMs;
    private final List<TrackedAttempt> attempts = new ArrayList<>(2);
    private final List<TrackedAttempt> attemptsView = Collections.unmodifiableList(attempts);
    private RequestState state = RequestState.OPEN;
    private long id = GenerationalTable.FULL;
    private int attemptsInFlight;
    /** The attempt whose response was the last to begin; null while the state is {@code OPEN}. */
    private TrackedAttempt responding;

    private double grantMb = ENGINE_DECIDES_MEMORY;
    private int priority = DEFAULT_PRIORITY;

    /** @param deadlineMs when the client stops waiting */
    TrackedRequest(X exchange, double deadlineMs) {
        this.exchange = exchange;
        this.deadlineMs = deadlineMs;
    }

    /** Returns the protocol's own record of the request. */
    X exchange() {
        return exchange;
    }

    /** Returns when the client stops waiting. */
    double deadlineMs() {
        return deadlineMs;
    }

    /** Returns its id in the table of requests; {@link GenerationalTable#FULL} if it has no slot. */
    long id() {
        return id;
    }

    /** Sets the id that the table of requests returned. */
    void setId(long assigned) {
        id = assigned;
    }

    /** Returns all attempts, in the order of their numbers. */
    List<TrackedAttempt> attempts() {
        return attemptsView;
    }

    /** Adds an attempt that is in flight from now on. */
    TrackedAttempt addAttempt(String engine) {
        TrackedAttempt attempt = new TrackedAttempt(attempts.size(), engine);
        attempts.add(attempt);
        attemptsInFlight++;
        return attempt;
    }

    /** Returns the attempt with that number; null if there is none or it has ended. */
    TrackedAttempt attemptInFlight(int number) {
        if (number >= attempts.size() || !attempts.get(number).isInFlight()) {
            return null;
        }
        return attempts.get(number);
    }

    /** Records the end of an attempt in flight. */
    void endAttempt(TrackedAttempt attempt) {
        attempt.end();
        attemptsInFlight--;
    }

    /** Records that this attempt's response has begun to reach the client. */
    void startResponse(TrackedAttempt attempt) {
        state = state.responseStarted();
        responding = attempt;
    }

    /** Returns whether this attempt's response was the last to begin. */
    boolean isResponding(TrackedAttempt attempt) {
        return responding == attempt;
    }

    /** Completes the request and returns whether it was not completed before. */
    boolean complete() {
        boolean wasOpen = !isCompleted();
        state = state.completed();
        return wasOpen;
    }

    /** Returns whether its final answer is decided or its client is gone. */
    boolean isCompleted() {
        return state.isCompleted();
    }

    /** Returns whether it is completed and no attempt is in flight, so that its slot can be reused. */
    boolean isReleasable() {
        return isCompleted() && attemptsInFlight == 0;
    }

    /** Returns the memory that further attempts are granted; 0 leaves it to the engine. */
    double grantMb() {
        return grantMb;
    }

    /** Returns the priority of its attempts, from 0, the lowest, to 3. */
    int priority() {
        return priority;
    }

    /** Sets the memory of further attempts and the priority; returns whether the priority has changed. */
    boolean setResourceLimits(double nextGrantMb, int nextPriority) {
        boolean priorityChanged = priority != nextPriority;
        grantMb = nextGrantMb;
        priority = nextPriority;
        return priorityChanged;
    }
}
