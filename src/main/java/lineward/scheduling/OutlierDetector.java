package lineward.scheduling;

/** Ejects engines that fail or fall silent, and lets recovery probes find out when they are back. */
final class OutlierDetector {
    /** Failures in a row that eject an engine. */
    private static final int MAX_CONSECUTIVE_FAILURES = 3;
    /** Resets in a row that tell of a process that ended: a single connection may break for itself. */
    private static final int RESETS_OF_A_LOST_PROCESS = 2;
    /** Errors by which a request counts as one that no engine can run. */
    private static final int MAX_ERRORS_PER_REQUEST = 3;
    /** With fewer engines left than this ratio, the fault is as likely ours: use them all. */
    private static final double MIN_HEALTHY_RATIO = 0.34;
    /** Silence of an engine with work overdue: above common pauses, far below any deadline. */
    static final double SILENCE_MS = 900;
    /** An attempt is overdue past this multiple of its expected time (and the silence above). */
    private static final double OVERDUE_FACTOR = 3;
    /** No progress report for this many intervals is silence: the first takes up to 1.5. */
    private static final double MISSED_PROGRESS_INTERVALS = 1.55;
    /** Time between recovery probes to an ejected engine. */
    private static final double RECOVERY_PROBE_INTERVAL_MS = 700;
    /**
     * Recovery probes earned by each request admitted, and how many are saved up: those of all front ends add
     * up.
     */
    private static final double RECOVERY_PROBES_PER_REQUEST = 0.1;

    private static final double MAX_RECOVERY_PROBES = 2;
    /** A recovery probe needs this multiple of its expected time before its objective. */
    private static final double RECOVERY_PROBE_SLACK = 3;

    private final SchedulerContext context;
    private double recoveryProbes = MAX_RECOVERY_PROBES;

    OutlierDetector(SchedulerContext context) {
        this.context = context;
    }

    /** A request was admitted, which earns a part of a recovery probe. */
    void earnRecoveryProbe() {
        recoveryProbes = Math.min(MAX_RECOVERY_PROBES, recoveryProbes + RECOVERY_PROBES_PER_REQUEST);
    }

    /** An attempt was sent to an ejected engine. */
    void spendRecoveryProbe(Engine engine) {
        engine.nextRecoveryProbeMs = context.nowMs() + RECOVERY_PROBE_INTERVAL_MS;
        recoveryProbes = Math.max(0, recoveryProbes - 1);
    }

    /** Returns whether so few engines are healthy that all are used: else nobody might be left to send to. */
    boolean mustUseEjected(int healthy, int allowed) {
        return healthy < MIN_HEALTHY_RATIO * allowed;
    }

    /** Returns whether a request may be the engine's next recovery probe. */
    boolean mayProbe(Engine engine, TrackedRequest request) {
        return isDueForProbe(engine) && recoveryProbes >= 1 && canAffordAProbe(request);
    }

    /** Returns whether an ejected engine's next recovery probe is due. */
    boolean isDueForProbe(Engine engine) {
        return engine.ejected && context.nowMs() >= engine.nextRecoveryProbeMs;
    }

    private boolean canAffordAProbe(TrackedRequest request) {
        double slackMs = request.objectiveAtMs - context.nowMs();
        return !request.relaunched
                && request.isIdempotent()
                && slackMs > RECOVERY_PROBE_SLACK * request.expectedRunMs();
    }

    /** Ejects the engine if it has work overdue and has sent nothing for long: no answer, no progress. */
    void detectSilence(Engine engine) {
        double silentMs = context.nowMs() - engine.lastResponseMs;
        if (!engine.ejected && silentMs >= SILENCE_MS && hasWorkOverdue(engine, silentMs)) {
            eject(engine, EjectionCause.SILENCE);
        }
    }

    /** With many front ends each hears little of one engine; a single straggler there is no silence. */
    private boolean hasWorkOverdue(Engine engine, double silentMs) {
        double intervalMs = context.settings.attempts().progressIntervalMs();
        boolean overdue = false;
        int unanswered = 0;
        for (Attempt attempt : engine.attempts) {
            if (attempt.waiting) {
                continue; // it was reported as queued once, and nothing more is reported of it
            }
            double ageMs = context.nowMs() - attempt.startedAtMs;
            double usualMs = attempt.request.expectedRunMs() * attempt.request.type.model.slowdown();
            overdue |= ageMs > OVERDUE_FACTOR * usualMs + SILENCE_MS;
            unanswered += ageMs > Math.max(SILENCE_MS, usualMs) ? 1 : 0;
            double quietMs = Math.min(ageMs, silentMs);
            boolean missed = intervalMs > 0 && quietMs > intervalMs * MISSED_PROGRESS_INTERVALS;
            boolean progressIsDue = intervalMs == 0 || silentMs > intervalMs;
            if (missed || (overdue && unanswered > 1 && progressIsDue)) {
                return true;
            }
        }
        return false;
    }

    /** An engine has answered: it is healthy. */
    void recordSuccess(Engine engine) {
        engine.lastResponseMs = context.nowMs();
        engine.consecutiveFailures = 0;
        engine.recordError(0, context.nowMs());
        engine.ejected = false;
        engine.awaitingFirstAnswer = false;
    }

    /** A connection to the engine broke under an attempt. */
    void recordReset(Engine engine) {
        recordFailure(engine, EjectionCause.RESETS);
        if (engine.consecutiveFailures >= RESETS_OF_A_LOST_PROCESS) {
            engine.connectionLostMs = context.nowMs();
        }
    }

    /** No connection to the engine came up. */
    void recordConnectFailure(Engine engine) {
        engine.consecutiveFailures = MAX_CONSECUTIVE_FAILURES;
        engine.connectionLostMs = context.nowMs();
        recordFailure(engine, EjectionCause.CONNECT_FAILURES);
    }

    /**
     * A request has met an error. One that every engine answers with an error would make all of them look
     * bad: the second error takes the first one back.
     */
    void attributeError(TrackedRequest request, Engine engine) {
        request.errors++;
        if (request.errors == 1) {
            request.firstEngineInError = engine;
            engine.recordError(1, context.nowMs());
            recordFailure(engine, EjectionCause.ERRORS);
        } else if (request.errors == 2) {
            revertError(request.firstEngineInError);
        }
    }

    private void revertError(Engine engine) {
        engine.recordError(-1, context.nowMs());
        if (engine.consecutiveFailures > 0) {
            engine.ejected &= engine.consecutiveFailures != MAX_CONSECUTIVE_FAILURES;
            engine.consecutiveFailures--;
        }
    }

    /** Returns whether the request itself is held to be at fault. */
    static boolean isUnservable(TrackedRequest request) {
        return request.errors >= MAX_ERRORS_PER_REQUEST;
    }

    private void recordFailure(Engine engine, EjectionCause cause) {
        engine.consecutiveFailures++;
        if (engine.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES) {
            eject(engine, cause);
        }
    }

    /** Leaves the engine out until a recovery probe is answered. */
    void eject(Engine engine, EjectionCause cause) {
        engine.nextRecoveryProbeMs = context.nowMs() + RECOVERY_PROBE_INTERVAL_MS;
        if (!engine.ejected) {
            engine.ejected = true;
            context.log("engine ejected: engine=" + Long.toHexString(engine.id) + " cause=" + cause);
        }
    }

    /** The engine's process has started anew. */
    void forgetFailures(Engine engine) {
        engine.ejected = false;
        engine.consecutiveFailures = 0;
    }
}
