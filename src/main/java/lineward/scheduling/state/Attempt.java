package lineward.scheduling.state;

import java.util.OptionalDouble;

/** One attempt of a request at an engine. Times are milliseconds of the scheduler's clock. */
public final class Attempt {
    private static final double MIN_AGE_MS = 0.01;

    private record Progress(double ratioDone, double reportedAtMs) {}

    private final TrackedRequest request;
    private final Engine engine;
    private final int index;
    private final double startedAtMs;
    private final double grantMb;
    private final boolean recoveryProbe;
    private final boolean firstRun;

    private AttemptState state = AttemptState.IN_FLIGHT;
    /** Null unless a cancel was requested. */
    private CancelCause cancelCause;
    /** Null before the first progress report. */
    private Progress progress;

    private boolean waiting;
    private double waitingSinceMs;
    private double waitedMs;
    private OptionalDouble slowRunPredictedMs = OptionalDouble.empty();

    /** Creates an attempt that is in flight from now on. */
    public Attempt(TrackedRequest request, Engine engine, double grantMb, double nowMs) {
        this.request = request;
        this.engine = engine;
        this.index = request.attempts().size();
        this.startedAtMs = nowMs;
        this.grantMb = grantMb;
        this.recoveryProbe = engine.health().isEjected();
        this.firstRun = !request.isRelaunched();
    }

    /** Returns its request. */
    public TrackedRequest request() {
        return request;
    }

    /** Returns the engine that it was sent to. */
    public Engine engine() {
        return engine;
    }

    /** Returns its number among the attempts of its request, from 0. */
    public int index() {
        return index;
    }

    /** Returns when it was started. */
    public double startedAtMs() {
        return startedAtMs;
    }

    /** Returns the memory that it was granted. */
    public double grantMb() {
        return grantMb;
    }

    /** Returns whether it checks if an ejected engine has recovered. */
    public boolean isRecoveryProbe() {
        return recoveryProbe;
    }

    /** Returns whether it is no relaunch, so that its time belongs to the curve of first runs. */
    public boolean isFirstRun() {
        return firstRun;
    }

    /** Returns the threads that it runs on. */
    public int threads() {
        return request.threads();
    }

    /** Returns where it is in its lifecycle. */
    public AttemptState state() {
        return state;
    }

    /** Returns whether it has not ended and no cancel was requested. */
    public boolean isRunning() {
        return state == AttemptState.IN_FLIGHT;
    }

    /** Records that its cancel was requested. */
    public void cancel(CancelCause cause) {
        state = state.cancel();
        cancelCause = cause;
    }

    /** Records its end. */
    public void end() {
        state = state.end();
    }

    /** Returns whether it was cancelled so that its request is queued at another engine. */
    public boolean isMigrated() {
        return cancelCause == CancelCause.MIGRATION;
    }

    /** Returns whether the next attempt relaunches work that was cancelled because it was slow. */
    public boolean isRelaunchedAfterCancel() {
        return cancelCause != null && !recoveryProbe && !isMigrated();
    }

    /** Returns whether it waits at its engine, by the last report. */
    public boolean isWaiting() {
        return waiting;
    }

    /** Records whether it waits at its engine from now on. */
    public void setWaiting(boolean waits, double nowMs) {
        waitedMs += waiting ? nowMs - waitingSinceMs : 0;
        waiting = waits;
        waitingSinceMs = nowMs;
    }

    /** Returns how long it has run, without the time that it waited at its engine. */
    public double runTimeMs(double nowMs) {
        double waitingNowMs = waiting ? nowMs - waitingSinceMs : 0;
        return Math.max(MIN_AGE_MS, nowMs - startedAtMs - waitedMs - waitingNowMs);
    }

    /** Records a progress report: the ratio done, in [0, 1]. */
    public void recordProgress(double ratioDone, double nowMs) {
        progress = new Progress(ratioDone, nowMs);
    }

    /** Returns whether its engine has reported progress. */
    public boolean hasProgress() {
        return progress != null && progress.ratioDone() > 0;
    }

    /** Returns whether its engine has reported progress within that time. */
    public boolean hasProgressWithin(double freshMs, double nowMs) {
        return hasProgress() && nowMs - progress.reportedAtMs() < freshMs;
    }

    /** Returns the run time left as the last progress report predicts it; there must be one. */
    public double predictedRemainingMs() {
        double runMs = runTimeMs(progress.reportedAtMs());
        return runMs * (1 - progress.ratioDone()) / progress.ratioDone();
    }

    /**
     * Records the last prediction of its progress: the whole run time if it is due before tau, else empty.
     */
    public void recordPrediction(OptionalDouble slowRunMs) {
        slowRunPredictedMs = slowRunMs;
    }

    /** Returns the run time that made it due before tau at the last prediction, if it did. */
    public OptionalDouble slowRunPredictedMs() {
        return slowRunPredictedMs;
    }
}
