package lineward.scheduling.decision;

import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.EjectionCause;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.EngineHealth;
import lineward.scheduling.state.SchedulerContext;
import lineward.scheduling.state.TrackedRequest;

/** Ejects engines that fail or fall silent, and decides which requests probe whether they have recovered. */
public final class OutlierDetector {
    /** Least silence of an engine with overdue work: above usual pauses, far below any deadline. */
    static final double SILENCE_MS = 900;

    private static final int MAX_CONSECUTIVE_FAILURES = 3;
    /** Resets in a row that count as the end of the process; one connection may break for other reasons. */
    private static final int RESETS_OF_A_LOST_PROCESS = 2;
    /**
     * Fraction of the allowed engines below which ejected ones are used as well, one attempt for each probe
     * interval: the fault is then more likely here.
     */
    private static final double MIN_HEALTHY_RATIO = 0.34;
    /** Multiple of its expected time past which, besides the silence, an attempt is overdue. */
    private static final double OVERDUE_FACTOR = 3;
    /**
     * Unanswered attempts, one of them overdue, that make a silence; in a large fleet a single one may be a
     * straggler.
     */
    private static final int UNANSWERED_ATTEMPTS = 2;
    /** Intervals without a progress report that make a silence; the first report takes up to 1.5. */
    private static final double MISSED_PROGRESS_INTERVALS = 1.55;

    private static final double RECOVERY_PROBE_INTERVAL_MS = 700;
    /** Recovery probes earned by each admitted request, as the probes of all front ends add up. */
    private static final double RECOVERY_PROBES_PER_REQUEST = 0.1;

    private static final double MAX_RECOVERY_PROBES = 2;
    /** Multiple of its expected time that a recovery probe must have before its objective. */
    private static final double RECOVERY_PROBE_SLACK = 3;

    private final SchedulerContext context;
    private double recoveryProbes = MAX_RECOVERY_PROBES;

    /** Creates a detector for the engines of that scheduler. */
    public OutlierDetector(SchedulerContext context) {
        this.context = context;
    }

    /** Counts an admitted request, which earns a fraction of a recovery probe. */
    public void earnRecoveryProbe() {
        recoveryProbes = Math.min(MAX_RECOVERY_PROBES, recoveryProbes + RECOVERY_PROBES_PER_REQUEST);
    }

    /** Counts an attempt that is started at an ejected engine. */
    public void spendRecoveryProbe(Engine engine) {
        scheduleRecoveryProbe(engine);
        recoveryProbes = Math.max(0, recoveryProbes - 1);
    }

    private void scheduleRecoveryProbe(Engine engine) {
        engine.health().scheduleRecoveryProbe(context.nowMs() + RECOVERY_PROBE_INTERVAL_MS);
    }

    /**
     * Returns whether so few of the allowed engines are healthy that ejected ones whose next recovery probe
     * is due are used for any request.
     */
    public boolean mustUseEjected(int healthy, int allowed) {
        return healthy < MIN_HEALTHY_RATIO * allowed;
    }

    /** Returns whether a request may be the engine's next recovery probe. */
    public boolean mayProbe(Engine engine, TrackedRequest request) {
        return isDueForProbe(engine) && recoveryProbes >= 1 && canAffordAProbe(request);
    }

    /** Returns whether an ejected engine's next recovery probe is due. */
    public boolean isDueForProbe(Engine engine) {
        EngineHealth health = engine.health();
        return health.isEjected() && context.nowMs() >= health.nextRecoveryProbeMs();
    }

    private boolean canAffordAProbe(TrackedRequest request) {
        double slackMs = request.objectiveAtMs() - context.nowMs();
        return !request.isRelaunched()
                && request.isIdempotent()
                && slackMs > RECOVERY_PROBE_SLACK * request.expectedRunMs();
    }

    /** Ejects the engine if it has overdue work and has sent neither an answer nor progress for long. */
    public void detectSilence(Engine engine) {
        double silentMs = context.nowMs() - engine.health().lastResponseMs();
        boolean silent = !engine.health().isEjected() && silentMs >= SILENCE_MS;
        if (silent && hasOverdueWork(engine, silentMs)) {
            eject(engine, EjectionCause.SILENCE);
        }
    }

    private boolean hasOverdueWork(Engine engine, double silentMs) {
        double intervalMs = context.settings().attempts().progressIntervalMs();
        boolean reportsProgress = intervalMs > 0;
        boolean progressIsDue = !reportsProgress || silentMs > intervalMs;
        boolean overdue = false;
        int unanswered = 0;
        for (Attempt attempt : engine.attempts()) {
            // An engine reports once that an attempt waits, and nothing more until it runs.
            if (!attempt.isWaiting()) {
                double ageMs = context.nowMs() - attempt.startedAtMs();
                double usualMs = usualRunMs(attempt.request());
                overdue |= ageMs > OVERDUE_FACTOR * usualMs + SILENCE_MS;
                unanswered += ageMs > Math.max(SILENCE_MS, usualMs) ? 1 : 0;
                double quietMs = Math.min(ageMs, silentMs);
                boolean missed = reportsProgress && quietMs > intervalMs * MISSED_PROGRESS_INTERVALS;
                if (missed || (overdue && unanswered >= UNANSWERED_ATTEMPTS && progressIsDue)) {
                    return true;
                }
            }
        }
        return false;
    }

    private static double usualRunMs(TrackedRequest request) {
        return request.expectedRunMs() * request.type().model().slowdown();
    }

    /** An engine has answered an attempt: it is healthy. */
    public void recordSuccess(Engine engine) {
        engine.recordSuccess(context.nowMs());
    }

    /** A connection to the engine broke under an attempt. */
    public void recordReset(Engine engine) {
        recordFailure(engine, EjectionCause.RESETS);
        if (engine.health().consecutiveFailures() >= RESETS_OF_A_LOST_PROCESS) {
            engine.recordConnectionLost(context.nowMs());
        }
    }

    /** No connection to the engine came up, which ejects it at once. */
    public void recordConnectFailure(Engine engine) {
        engine.health().setConsecutiveFailures(MAX_CONSECUTIVE_FAILURES);
        engine.recordConnectionLost(context.nowMs());
        recordFailure(engine, EjectionCause.CONNECT_FAILURES);
    }

    /**
     * An engine answered a request with an error. The second error of a request takes the first one back, as
     * the request may be at fault.
     */
    public void attributeError(TrackedRequest request, Engine engine) {
        request.recordError(engine);
        if (request.errors() == 1) {
            engine.health().recordError(context.nowMs());
            recordFailure(engine, EjectionCause.ERRORS);
        } else if (request.errors() == 2) {
            revertError(request.firstEngineInError().health());
        }
    }

    private void revertError(EngineHealth health) {
        health.revertError(context.nowMs());
        if (health.consecutiveFailures() == 0) {
            return;
        }
        if (health.consecutiveFailures() == MAX_CONSECUTIVE_FAILURES) {
            health.returnToService();
        }
        health.revertFailure();
    }

    private void recordFailure(Engine engine, EjectionCause cause) {
        engine.health().addFailure();
        if (engine.health().consecutiveFailures() >= MAX_CONSECUTIVE_FAILURES) {
            eject(engine, cause);
        }
    }

    /** Ejects the engine until it answers any attempt, restarts, or its failure is reverted. */
    public void eject(Engine engine, EjectionCause cause) {
        scheduleRecoveryProbe(engine);
        if (engine.health().eject()) {
            context.log("engine ejected: engine=" + Long.toHexString(engine.id()) + " cause=" + cause);
        }
    }

    /** The engine's process has restarted. */
    public void forgetFailures(Engine engine) {
        engine.health().clearFailures();
    }
}
