package lineward.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The coordinator's bookkeeping for one admitted request. Times are in milliseconds, as callers pass them to
 * the coordinator. Used on the event loop only.
 *
 * @param <X> the protocol's representation of a request
 */
final class TrackedRequest<X> {
    private static final int DEFAULT_PRIORITY = 1;
    private static final double NO_MEMORY_GRANT = 0;

    private final X protocolRequest;
    private final double deadlineMs;
    private final List<TrackedAttempt> attempts = new ArrayList<>(2);
    private final List<TrackedAttempt> attemptsView = Collections.unmodifiableList(attempts);
    private TrackedRequestState state = TrackedRequestState.OPEN;
    private long id = GenerationalTable.FULL;
    private int inFlightCount;
    /** The attempt that was the last to start sending its response; null if there is none. */
    private TrackedAttempt respondingAttempt;

    private double grantMb = NO_MEMORY_GRANT;
    private int priority = DEFAULT_PRIORITY;

    /** @param deadlineMs time of the client's deadline, or of the shutdown deadline if that is earlier */
    TrackedRequest(X protocolRequest, double deadlineMs) {
        this.protocolRequest = protocolRequest;
        this.deadlineMs = deadlineMs;
    }

    /** Returns the protocol's representation of the request. */
    X protocolRequest() {
        return protocolRequest;
    }

    /** Returns the time of the request's deadline. */
    double deadlineMs() {
        return deadlineMs;
    }

    /** Returns the id in the request table; {@link GenerationalTable#FULL} before one is assigned. */
    long id() {
        return id;
    }

    /** Sets the id that the request table assigned. */
    void setId(long assigned) {
        id = assigned;
    }

    /** Returns all attempts, ordered by number. */
    List<TrackedAttempt> attempts() {
        return attemptsView;
    }

    /** Adds an attempt, which is in flight until {@link #endAttempt}. */
    TrackedAttempt addAttempt(String engineId) {
        TrackedAttempt attempt = new TrackedAttempt(attempts.size(), engineId);
        attempts.add(attempt);
        inFlightCount++;
        return attempt;
    }

    /** Returns the attempt with this number; null if it does not exist or has ended. */
    TrackedAttempt attemptInFlight(int number) {
        if (number >= attempts.size() || !attempts.get(number).isInFlight()) {
            return null;
        }
        return attempts.get(number);
    }

    /** Records the end of an attempt in flight. */
    void endAttempt(TrackedAttempt attempt) {
        attempt.end();
        inFlightCount--;
    }

    /** Records that this attempt starts to send its response to the client. */
    void startResponse(TrackedAttempt attempt) {
        state = state.responseStarted();
        respondingAttempt = attempt;
    }

    /** Returns whether this attempt was the last to start sending its response. */
    boolean isResponding(TrackedAttempt attempt) {
        return respondingAttempt == attempt;
    }

    /** Completes the request; returns false if it was already completed. */
    boolean complete() {
        boolean wasOpen = !isCompleted();
        state = state.completed();
        return wasOpen;
    }

    /** Returns whether the final answer is decided or the request was cancelled. */
    boolean isCompleted() {
        return state.isCompleted();
    }

    /** Returns whether the request is completed and has no attempt in flight, so its id can be released. */
    boolean isReleasable() {
        return isCompleted() && inFlightCount == 0;
    }

    /** Returns the memory granted to further attempts, in megabytes; 0 lets the engine decide. */
    double grantMb() {
        return grantMb;
    }

    /** Returns the priority of the request's attempts, from 0 (lowest) to 3 (highest). */
    int priority() {
        return priority;
    }

    /** Sets the memory grant of further attempts and the priority; returns whether the priority changed. */
    boolean setResourceLimits(double nextGrantMb, int nextPriority) {
        boolean priorityChanged = priority != nextPriority;
        grantMb = nextGrantMb;
        priority = nextPriority;
        return priorityChanged;
    }
}
