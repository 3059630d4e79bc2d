package lineward.scheduling.decision;

import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.EjectionCause;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.EngineHealth;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/**
 * Ejects engines that fail or stop responding, and decides which requests probe whether an ejected engine has
 * recovered.
 */
public final class OutlierDetector {
    /**
     * Minimum time without a response after which an engine with overdue work is ejected: longer than usual
     * pauses, far shorter than any deadline.
     */
    static final double MIN_SILENCE_MS = 900;

    private static final int MAX_CONSECUTIVE_FAILURES = 3;
    /**
     * Minimum number of consecutive failures, the last one a reset, at which the engine's process counts as
     * ended. A single connection may break for other reasons.
     */
    private static final int MIN_FAILURES_OF_LOST_PROCESS = 2;
    /**
     * Fraction of healthy engines below which ejected ones are used as well, each for one attempt in every
     * recovery probe interval. If so many engines seem faulty, the fault is more likely at this front end.
     */
    private static final double MIN_HEALTHY_RATIO = 0.34;
    /** An attempt is overdue after this multiple of its usual run time plus {@link #MIN_SILENCE_MS}. */
    private static final double OVERDUE_FACTOR = 3;
    /**
     * Minimum number of unanswered attempts, at least one of them overdue, at which a silent engine is
     * ejected. In a large fleet a single one may be a straggler.
     */
    private static final int MIN_UNANSWERED_ATTEMPTS = 2;
    /**
     * Number of progress intervals without a report after which a silent engine is ejected. The first report
     * may take up to 1.5 intervals.
     */
    private static final double MISSED_PROGRESS_INTERVALS = 1.55;

    private static final double RECOVERY_PROBE_INTERVAL_MS = 700;
    /**
     * Recovery probes that each admitted request adds to the budget. The probes are limited because those of
     * all front ends add up.
     */
    private static final double RECOVERY_PROBES_PER_REQUEST = 0.1;

    private static final double MAX_PROBE_BUDGET = 2;
    /**
     * A request may be a recovery probe if the time to its objective exceeds this multiple of its expected
     * run time.
     */
    private static final double RECOVERY_PROBE_SLACK_FACTOR = 3;

    private final SchedulerContext context;
    private double probeBudget = MAX_PROBE_BUDGET;

    /** Creates a detector over the given scheduler state. */
    public OutlierDetector(SchedulerContext context) {
        this.context = context;
    }

    /** Adds to the budget the fraction of a recovery probe that an admitted request earns. */
    public void earnRecoveryProbe() {
        probeBudget = Math.min(MAX_PROBE_BUDGET, probeBudget + RECOVERY_PROBES_PER_REQUEST);
    }

    /**
     * Records that an attempt is started on an ejected engine: it uses up one recovery probe of the budget
     * and delays the engine's next one.
     */
    public void spendRecoveryProbe(Engine engine) {
        scheduleRecoveryProbe(engine);
        probeBudget = Math.max(0, probeBudget - 1);
    }

    private void scheduleRecoveryProbe(Engine engine) {
        engine.health().scheduleRecoveryProbe(context.nowMs() + RECOVERY_PROBE_INTERVAL_MS);
    }

    /**
     * Returns whether so few of the engines that a request may run on are healthy that it may use any ejected
     * engine whose next recovery probe is due.
     */
    public boolean mustUseEjected(int healthyCount, int allowedCount) {
        return healthyCount < MIN_HEALTHY_RATIO * allowedCount;
    }

    /** Returns whether a request may be the engine's next recovery probe. */
    public boolean mayProbe(Engine engine, ScheduledRequest request) {
        return isDueForProbe(engine) && probeBudget >= 1 && isSuitableAsProbe(request);
    }

    /** Returns whether an ejected engine's next recovery probe is due. */
    public boolean isDueForProbe(Engine engine) {
        EngineHealth health = engine.health();
        return health.isEjected() && context.nowMs() >= health.nextRecoveryProbeMs();
    }

    private boolean isSuitableAsProbe(ScheduledRequest request) {
        double slackMs = request.objectiveEndMs() - context.nowMs();
        return !request.isRelaunched()
                && request.isIdempotent()
                && slackMs > RECOVERY_PROBE_SLACK_FACTOR * request.expectedRunMs();
    }

    /** Ejects the engine if it has overdue work and has sent neither answers nor progress for too long. */
    public void detectSilence(Engine engine) {
        double silentMs = context.nowMs() - engine.health().lastActivityMs();
        boolean silent = !engine.health().isEjected() && silentMs >= MIN_SILENCE_MS;
        if (silent && hasOverdueWork(engine, silentMs)) {
            eject(engine, EjectionCause.SILENCE);
        }
    }

    /**
     * Returns whether a running attempt has missed its progress reports, or several attempts are unanswered
     * and one of them is overdue.
     */
    private boolean hasOverdueWork(Engine engine, double silentMs) {
        double intervalMs = context.settings().attemptLimits().progressIntervalMs();
        boolean reportsProgress = intervalMs > 0;
        boolean progressIsDue = !reportsProgress || silentMs > intervalMs;
        boolean anyOverdue = false;
        int unansweredCount = 0;
        for (Attempt attempt : engine.attemptsInFlight()) {
            // An engine reports only once that an attempt waits, and is then silent until the attempt runs.
            if (!attempt.isWaiting()) {
                double ageMs = context.nowMs() - attempt.startedAtMs();
                double slowedRunMs = slowedRunMs(attempt.request());
                anyOverdue |= ageMs > OVERDUE_FACTOR * slowedRunMs + MIN_SILENCE_MS;
                unansweredCount += ageMs > Math.max(MIN_SILENCE_MS, slowedRunMs) ? 1 : 0;
                double quietMs = Math.min(ageMs, silentMs);
                boolean missed = reportsProgress && quietMs > intervalMs * MISSED_PROGRESS_INTERVALS;
                if (missed || (anyOverdue && unansweredCount >= MIN_UNANSWERED_ATTEMPTS && progressIsDue)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Returns the run time to expect at the current slowdown of the class. */
    private static double slowedRunMs(ScheduledRequest request) {
        return request.expectedRunMs()
                * request.requestClass().serviceTimeModel().slowdown();
    }

    /** Records that the engine answered an attempt, which ends its ejection. */
    public void recordSuccess(Engine engine) {
        engine.recordSuccess(context.nowMs());
    }

    /**
     * Records that a connection to the engine broke during an attempt. After several failures in a row the
     * engine's process counts as ended, and the engine as warming up.
     */
    public void recordReset(Engine engine) {
        recordFailure(engine, EjectionCause.RESETS);
        if (engine.health().consecutiveFailures() >= MIN_FAILURES_OF_LOST_PROCESS) {
            engine.recordConnectionLost(context.nowMs());
        }
    }

    /** Records that no connection to the engine could be established, and ejects it at once. */
    public void recordConnectFailure(Engine engine) {
        engine.health().setConsecutiveFailures(MAX_CONSECUTIVE_FAILURES);
        engine.recordConnectionLost(context.nowMs());
        recordFailure(engine, EjectionCause.CONNECT_FAILURES);
    }

    /**
     * Records that an engine answered a request with an error. The first error of a request counts as a
     * failure of its engine; the second error reverts that failure, as the request itself may be at fault.
     */
    public void recordError(ScheduledRequest request, Engine engine) {
        request.recordError(engine);
        if (request.errorCount() == 1) {
            engine.health().recordError(context.nowMs());
            recordFailure(engine, EjectionCause.ERRORS);
        } else if (request.errorCount() == 2) {
            revertError(request.firstErrorEngine().health());
        }
    }

    private void revertError(EngineHealth health) {
        health.revertError(context.nowMs());
        if (health.consecutiveFailures() == 0) {
            return;
        }
        if (health.consecutiveFailures() == MAX_CONSECUTIVE_FAILURES) {
            health.endEjection();
        }
        health.revertFailure();
    }

    private void recordFailure(Engine engine, EjectionCause cause) {
        engine.health().addFailure();
        if (engine.health().consecutiveFailures() >= MAX_CONSECUTIVE_FAILURES) {
            eject(engine, cause);
        }
    }

    /**
     * Ejects the engine until it answers an attempt, restarts, is released from maintenance, or its failure
     * is reverted.
     */
    public void eject(Engine engine, EjectionCause cause) {
        scheduleRecoveryProbe(engine);
        if (engine.health().eject()) {
            context.logLimited("engine ejected: engine=" + Long.toHexString(engine.id()) + " cause=" + cause);
        }
    }

    /** Ends the ejection and clears the failures of an engine whose process has restarted. */
    public void recordRestart(Engine engine) {
        engine.health().markHealthy();
    }
}
