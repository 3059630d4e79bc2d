package lineward.scheduling;

/** What is recorded of one attempt of a request at an engine. */
final class Attempt {
    private static final double MIN_AGE_MS = 0.01;

    final TrackedRequest request;
    final Engine engine;
    /** Its number among the attempts of its request, from 0. */
    final int index;

    final double startedAtMs;
    final double grantMb;
    /** Whether it checks if an ejected engine has recovered. */
    final boolean recoveryProbe;
    /** Whether it is no relaunch, so that its time belongs to the curve of first runs. */
    final boolean firstRun;

    boolean inFlight = true;
    boolean cancelRequested;
    /** Cancelled before tau, by what its progress predicted. */
    boolean cancelledEarly;
    /** Cancelled while it waited, to be queued at another engine. */
    boolean migrating;

    boolean waiting;
    /** The ratio done as last reported, and when; 0: never reported. */
    double progress;

    double progressAtMs;
    /** Run time in all, as its progress predicted when it was last judged. */
    double predictedRunMs;

    private double waitingSinceMs;
    private double waitedMs;

    Attempt(TrackedRequest request, Engine engine, double grantMb, double nowMs) {
        this.request = request;
        this.engine = engine;
        this.index = request.attempts.size();
        this.startedAtMs = nowMs;
        this.grantMb = grantMb;
        this.recoveryProbe = engine.ejected;
        this.firstRun = !request.relaunched;
    }

    /** Returns how long it has run, without the time in which it waited at its engine. */
    double runTimeMs(double nowMs) {
        double waitingNow = waiting ? nowMs - waitingSinceMs : 0;
        return Math.max(MIN_AGE_MS, nowMs - startedAtMs - waitedMs - waitingNow);
    }

    /** Notes whether it waits at its engine from now on. */
    void setWaiting(boolean waits, double nowMs) {
        waitedMs += waiting ? nowMs - waitingSinceMs : 0;
        waiting = waits;
        waitingSinceMs = nowMs;
    }

    /**
     * Returns whether the next attempt of its request relaunches work that was cancelled for its slowness.
     */
    boolean isRelaunchedAfterCancel() {
        return cancelRequested && !recoveryProbe && !migrating;
    }

    /** Returns the threads that it runs on. */
    int threads() {
        return request.type.settings.workload().threads();
    }
}
