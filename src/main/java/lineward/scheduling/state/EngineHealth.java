package lineward.scheduling.state;

import lineward.scheduling.estimation.DecayingMean;

/** The health of one engine as its answers show it. The outlier detector decides on ejection and return. */
public final class EngineHealth {
    private enum State {
        HEALTHY,
        EJECTED
    }

    private static final double ERRORS_HALF_LIFE_MS = 10_000;
    /** Prior good answers, so that a single error has little weight. */
    private static final double PRIOR_ANSWERS = 2;

    private static final double ERROR = 1;
    private static final double GOOD_ANSWER = 0;

    private final DecayingMean errorRatio = new DecayingMean(ERRORS_HALF_LIFE_MS);
    private State state = State.HEALTHY;
    private int consecutiveFailures;
    private double nextRecoveryProbeMs;
    private double lastResponseMs;

    /** Returns whether the engine is ejected: it gets recovery probes only. */
    public boolean isEjected() {
        return state == State.EJECTED;
    }

    /** Returns the failures since the last answer. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Returns when an ejected engine may get its next recovery probe. */
    public double nextRecoveryProbeMs() {
        return nextRecoveryProbeMs;
    }

    /** Returns when the engine last answered or reported progress, or began to have attempts in flight. */
    public double lastResponseMs() {
        return lastResponseMs;
    }

    /** Returns the ratio of its requests that the engine recently failed. */
    public double errorRatio(double nowMs) {
        return errorRatio.mean(nowMs, PRIOR_ANSWERS, 0);
    }

    /** Restarts the time of silence. */
    public void recordResponse(double nowMs) {
        lastResponseMs = nowMs;
    }

    /** Records an answer, which returns an ejected engine. */
    public void recordSuccess(double nowMs) {
        recordResponse(nowMs);
        errorRatio.add(nowMs, GOOD_ANSWER);
        clearFailures();
    }

    /** Counts an error in the error ratio. */
    public void recordError(double nowMs) {
        errorRatio.add(nowMs, ERROR);
    }

    /** Removes one error from the error ratio. */
    public void revertError(double nowMs) {
        errorRatio.add(nowMs, -ERROR);
    }

    /** Counts one more failure in a row. */
    public void addFailure() {
        consecutiveFailures++;
    }

    /** Sets the number of failures in a row, after an event that weighs as several. */
    public void setConsecutiveFailures(int failures) {
        consecutiveFailures = failures;
    }

    /** Takes one failure in a row back. */
    public void revertFailure() {
        consecutiveFailures--;
    }

    /** Ejects the engine; returns false if it was ejected before. */
    public boolean eject() {
        boolean changed = state != State.EJECTED;
        state = State.EJECTED;
        return changed;
    }

    /** Ends the ejection without an answer. */
    public void returnToService() {
        state = State.HEALTHY;
    }

    /** Ends the ejection and forgets the failures in a row. */
    public void clearFailures() {
        state = State.HEALTHY;
        consecutiveFailures = 0;
    }

    /** Sets when an ejected engine may get its next recovery probe. */
    public void scheduleRecoveryProbe(double atMs) {
        nextRecoveryProbeMs = atMs;
    }
}
