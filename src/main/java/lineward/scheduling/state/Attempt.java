package lineward.scheduling.state;

import java.util.OptionalDouble;

/** One attempt of a request on an engine. Times are in milliseconds of the scheduler's clock. */
public final class Attempt {
    private static final double MIN_RUN_MS = 0.01;

    private record Progress(double ratioDone, double reportedAtMs) {}

    private final ScheduledRequest request;
    private final Engine engine;
    private final int index;
    private final double startedAtMs;
    private final double reservedMemoryMb;
    private final boolean recoveryProbe;
    private final boolean firstRun;

    private AttemptState state = AttemptState.RUNNING;
    /** Null unless cancellation was requested. */
    private CancelCause cancelCause;
    /** Null before the first progress report. */
    private Progress progress;

    private boolean waiting;
    private double waitingSinceMs;
    private double waitedMs;
    private OptionalDouble predictedSlowRunMs = OptionalDouble.empty();

    /** Creates an attempt that is in flight from {@code nowMs}. */
    public Attempt(ScheduledRequest request, Engine engine, double reservedMemoryMb, double nowMs) {
        this.request = request;
        this.engine = engine;
        this.index = request.attempts().size();
        this.startedAtMs = nowMs;
        this.reservedMemoryMb = reservedMemoryMb;
        this.recoveryProbe = engine.health().isEjected();
        this.firstRun = !request.isRelaunched();
    }

    /** Returns the request that the attempt belongs to. */
    public ScheduledRequest request() {
        return request;
    }

    /** Returns the engine that the attempt was sent to. */
    public Engine engine() {
        return engine;
    }

    /** Returns the index of the attempt among the attempts of its request, from 0. */
    public int index() {
        return index;
    }

    /** Returns when the attempt was started. */
    public double startedAtMs() {
        return startedAtMs;
    }

    /** Returns the memory, in megabytes, that is reserved on the engine for the attempt. */
    public double reservedMemoryMb() {
        return reservedMemoryMb;
    }

    /** Returns whether the engine was ejected when the attempt started, which makes it a recovery probe. */
    public boolean isRecoveryProbe() {
        return recoveryProbe;
    }

    /** Returns whether the attempt is not a relaunch; the survival curve is based on such runs. */
    public boolean isFirstRun() {
        return firstRun;
    }

    /** Returns the number of threads that the attempt runs on. */
    public int threads() {
        return request.threads();
    }

    /** Returns the lifecycle state of the attempt. */
    public AttemptState state() {
        return state;
    }

    /** Returns whether the attempt has not ended and its cancellation was not requested. */
    public boolean isRunning() {
        return state == AttemptState.RUNNING;
    }

    /** Records that cancellation was requested. */
    public void cancel(CancelCause cause) {
        state = state.cancelled();
        cancelCause = cause;
    }

    /** Records that the attempt has ended. */
    public void end() {
        state = state.ended();
    }

    /** Returns whether the attempt was cancelled to move its request to another engine. */
    public boolean isCancelledForMigration() {
        return cancelCause == CancelCause.MIGRATION;
    }

    /**
     * Returns whether later attempts of the request are relaunches because this one was cancelled. That does
     * not hold for a recovery probe or an attempt cancelled for a migration.
     */
    public boolean isCancelledForRelaunch() {
        return cancelCause != null && !recoveryProbe && !isCancelledForMigration();
    }

    /** Returns whether the attempt waits at its engine for memory or a load, by the last progress report. */
    public boolean isWaiting() {
        return waiting;
    }

    /** Records whether the attempt waits at its engine from {@code nowMs} on. */
    public void setWaiting(boolean waits, double nowMs) {
        waitedMs += waiting ? nowMs - waitingSinceMs : 0;
        waiting = waits;
        waitingSinceMs = nowMs;
    }

    /** Returns how long the attempt has run, excluding the time that it waited at its engine. */
    public double runTimeMs(double nowMs) {
        double waitingNowMs = waiting ? nowMs - waitingSinceMs : 0;
        return Math.max(MIN_RUN_MS, nowMs - startedAtMs - waitedMs - waitingNowMs);
    }

    /** Records a progress report with the completed fraction, in [0, 1]. */
    public void recordProgress(double ratioDone, double nowMs) {
        progress = new Progress(ratioDone, nowMs);
    }

    /** Returns whether the engine has reported progress above 0. */
    public boolean hasProgress() {
        return progress != null && progress.ratioDone() > 0;
    }

    /** Returns whether the last progress report is above 0 and younger than {@code freshMs}. */
    public boolean hasProgressWithin(double freshMs, double nowMs) {
        return hasProgress() && nowMs - progress.reportedAtMs() < freshMs;
    }

    /**
     * Returns the remaining run time extrapolated from the last progress report. Requires
     * {@link #hasProgress()}.
     */
    public double predictedRemainingMs() {
        double runMs = runTimeMs(progress.reportedAtMs());
        return runMs * (1 - progress.ratioDone()) / progress.ratioDone();
    }

    /**
     * Records the last prediction from progress: the total run time of the attempt if a relaunch would be so
     * much faster that the attempt should be cancelled before its speculative timeout; empty otherwise.
     */
    public void setPredictedSlowRun(OptionalDouble slowRunMs) {
        predictedSlowRunMs = slowRunMs;
    }

    /**
     * Returns the predicted total run time if the attempt should be cancelled before its speculative timeout
     * by the last prediction; empty otherwise.
     */
    public OptionalDouble predictedSlowRunMs() {
        return predictedSlowRunMs;
    }
}
