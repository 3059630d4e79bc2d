package lineward.scheduling;

import java.util.LinkedHashSet;
import java.util.Set;

/** What is recorded of one engine: its endpoint, what is in flight there, what it last reported. */
final class Engine {
    /** Memory of an engine's relative speed. */
    private static final double SLOWDOWN_HALF_LIFE_MS = 3_000;
    /** Memory of the ratio of its requests that an engine fails: some answers at one engine of many. */
    private static final double ERRORS_HALF_LIFE_MS = 10_000;
    /** Good answers assumed beside those of one engine. */
    private static final double PRIOR_ANSWERS = 2;

    private static final int GOSSIP_ID_MASK = 0xffff;

    final long id;
    final Set<Attempt> attempts = new LinkedHashSet<>();
    /** Work sent within the window of the slow-start rule, by any attempt, however it ended. */
    final SlidingWindowCounter sentWork;

    Endpoint endpoint;
    int cores = 1;
    double memoryMb;
    /** Ready in the list and not under maintenance. */
    boolean ready;

    boolean gone;
    /** Left out as an outlier, but for recovery probes. */
    boolean ejected;

    boolean underMaintenance;
    /** Released from maintenance, with no answer since. */
    boolean awaitingFirstAnswer;

    int consecutiveFailures;
    double nextRecoveryProbeMs;
    /** When it last answered or reported progress. */
    double lastResponseMs;

    int threadsInFlight;
    double grantedMb;
    /** When the health check in flight was started; 0: none. */
    double healthCheckStartedMs;
    /** Its place among the engines to be polled next. */
    double pollOrder;

    double reportedAtMs = Double.NEGATIVE_INFINITY;
    double[] loadReport = {};
    /** Random factor on its concurrency limit until the next report. */
    double limitJitter = 1;

    int threadsSentSinceReport;
    double connectionLostMs;

    private double startedAtMs;
    private double releasedAtMs;
    private final DecayingMean logSlowdown = new DecayingMean(SLOWDOWN_HALF_LIFE_MS);
    private final DecayingMean errorRatio = new DecayingMean(ERRORS_HALF_LIFE_MS);

    Engine(long id, double overloadWindowMs) {
        this.id = id;
        sentWork = new SlidingWindowCounter(overloadWindowMs);
    }

    /** Takes in its endpoint and returns whether its process has started anew since the last one. */
    boolean update(Endpoint listed, EngineKind kind) {
        endpoint = listed;
        cores = kind.cores();
        memoryMb = kind.memoryMb();
        ready = listed.state() == EndpointState.READY && !underMaintenance;
        gone = listed.state() == EndpointState.GONE;
        boolean restarted = listed.startedAtMs() != startedAtMs;
        startedAtMs = listed.startedAtMs();
        return restarted;
    }

    /** Notes that a full snapshot has come, which may not list it. */
    void unlist() {
        ready = false;
        gone = true;
    }

    /** Takes in an operator's order. Its endpoint decides whether a released engine is ready. */
    void setMaintenance(boolean under, double sinceMs) {
        underMaintenance = under;
        gone |= endpoint == null;
        ready = !under && !gone && endpoint.state() == EndpointState.READY;
        awaitingFirstAnswer = !under;
        releasedAtMs = under ? releasedAtMs : sinceMs;
    }

    void add(Attempt attempt) {
        attempts.add(attempt);
        threadsInFlight += attempt.threads();
        threadsSentSinceReport += attempt.threads();
        grantedMb += attempt.grantMb;
    }

    void remove(Attempt attempt) {
        attempts.remove(attempt);
        threadsInFlight -= attempt.threads();
        grantedMb = attempts.isEmpty() ? 0 : grantedMb - attempt.grantMb;
    }

    /** Returns when it last started as far as that was announced; 0: long ago. */
    double announcedStartMs() {
        return Math.max(startedAtMs, releasedAtMs);
    }

    /**
     * Returns since when it may be warming up. An engine that broke off or refused connections may be back,
     * cold, long before service discovery says so.
     */
    double warmupStartMs() {
        return Math.max(announcedStartMs(), connectionLostMs);
    }

    /** Notes how much slower than usual an answer was, as a logarithm. */
    void recordSlowdown(double logRatio, double nowMs) {
        logSlowdown.add(nowMs, logRatio);
    }

    /** Notes whether it answered with an error: 1, 0, or -1 to take an error back. */
    void recordError(double error, double nowMs) {
        errorRatio.add(nowMs, error);
    }

    /** Returns how much slower than usual it lately was; a few outcomes do not count for much. */
    double slowdown(double nowMs) {
        return Math.exp(logSlowdown.mean(nowMs, PRIOR_ANSWERS, 0));
    }

    /** Returns the ratio of its requests that it lately failed. */
    double errorRatio(double nowMs) {
        return errorRatio.mean(nowMs, PRIOR_ANSWERS, 0);
    }

    /** Returns its id folded to two bytes, as gossip names it. */
    int gossipId() {
        return (int) ((id ^ id >>> 16 ^ id >>> 32) & GOSSIP_ID_MASK);
    }
}
