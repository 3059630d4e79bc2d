package lineward.scheduling.state;

import lineward.scheduling.estimation.DecayingMean;

/** The health of one engine: errors, failures, silence, and whether the outlier detector has ejected it. */
public final class EngineHealth {
    private enum State {
        HEALTHY,
        EJECTED
    }

    private static final double ERRORS_HALF_LIFE_MS = 10_000;
    /** Number of prior successes, so that a single error has little weight. */
    private static final double PRIOR_SUCCESSES = 2;

    private static final double ERROR = 1;
    private static final double SUCCESS = 0;

    private final DecayingMean errorRatio = new DecayingMean(ERRORS_HALF_LIFE_MS);
    private State state = State.HEALTHY;
    private int consecutiveFailures;
    private double nextRecoveryProbeMs;
    private double lastActivityMs;

    /** Returns whether the engine is ejected, so that it normally gets recovery probes only. */
    public boolean isEjected() {
        return state == State.EJECTED;
    }

    /** Returns the number of failures since the last success. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Returns the earliest time of the next recovery probe of an ejected engine. */
    public double nextRecoveryProbeMs() {
        return nextRecoveryProbeMs;
    }

    /**
     * Returns when an attempt on the engine last succeeded or reported progress, or when the idle engine last
     * got an attempt, whichever is later.
     */
    public double lastActivityMs() {
        return lastActivityMs;
    }

    /** Returns the fraction of recent attempts that ended with an error response of the engine. */
    public double errorRatio(double nowMs) {
        return errorRatio.mean(nowMs, PRIOR_SUCCESSES, 0);
    }

    /** Sets the time from which the engine's silence is measured. */
    public void recordActivity(double nowMs) {
        lastActivityMs = nowMs;
    }

    /** Records a successful attempt, which also ends an ejection. */
    public void recordSuccess(double nowMs) {
        recordActivity(nowMs);
        errorRatio.add(nowMs, SUCCESS);
        markHealthy();
    }

    /** Adds an error to the error ratio. */
    public void recordError(double nowMs) {
        errorRatio.add(nowMs, ERROR);
    }

    /** Offsets one error in the error ratio by a value of -1, so that both count as attempts. */
    public void revertError(double nowMs) {
        errorRatio.add(nowMs, -ERROR);
    }

    /** Increments the number of consecutive failures. */
    public void addFailure() {
        consecutiveFailures++;
    }

    /** Sets the number of consecutive failures, for events that reset it or count as several failures. */
    public void setConsecutiveFailures(int failures) {
        consecutiveFailures = failures;
    }

    /** Decrements the number of consecutive failures. */
    public void revertFailure() {
        consecutiveFailures--;
    }

    /** Ejects the engine; returns false if it was ejected already. */
    public boolean eject() {
        boolean changed = state != State.EJECTED;
        state = State.EJECTED;
        return changed;
    }

    /** Ends the ejection and keeps the number of consecutive failures. */
    public void endEjection() {
        state = State.HEALTHY;
    }

    /** Ends the ejection and resets the number of consecutive failures. */
    public void markHealthy() {
        state = State.HEALTHY;
        consecutiveFailures = 0;
    }

    /** Sets the earliest time of the next recovery probe of an ejected engine. */
    public void scheduleRecoveryProbe(double atMs) {
        nextRecoveryProbeMs = atMs;
    }
}
