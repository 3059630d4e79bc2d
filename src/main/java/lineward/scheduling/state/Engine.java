package lineward.scheduling.state;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.OptionalDouble;
import java.util.Set;
import lineward.scheduling.Endpoint;
import lineward.scheduling.EndpointState;
import lineward.scheduling.EngineKind;
import lineward.scheduling.estimation.DecayingMean;
import lineward.scheduling.estimation.SlidingWindowCounter;

/**
 * One engine: its listing, maintenance, health, load, and the attempts in flight there. Times are
 * milliseconds of the scheduler's clock, memory is megabytes.
 */
public final class Engine {
    private static final double SLOWDOWN_HALF_LIFE_MS = 3_000;
    /** Prior answers at the usual speed, so that a single slow answer has little weight. */
    private static final double PRIOR_ANSWERS = 2;

    private static final int GOSSIP_ID_MASK = 0xffff;

    private final long id;
    private final Set<Attempt> attempts = new LinkedHashSet<>();
    private final Set<Attempt> attemptsView = Collections.unmodifiableSet(attempts);
    private final EngineHealth health = new EngineHealth();
    private final EngineLoadState load = new EngineLoadState();
    private final DecayingMean logSlowdown = new DecayingMean(SLOWDOWN_HALF_LIFE_MS);
    /** Work sent within the window of the slow-start rule, by any attempt, however it ended. */
    private final SlidingWindowCounter sentWork;

    private Endpoint endpoint;
    private EndpointState listing = EndpointState.GONE;
    private EngineMaintenance maintenance = EngineMaintenance.NONE;
    private int cores = 1;
    private double memoryMb;
    private int threadsInFlight;
    private double grantedMb;
    private OptionalDouble startedAtMs = OptionalDouble.empty();
    private OptionalDouble releasedAtMs = OptionalDouble.empty();
    private OptionalDouble connectionLostMs = OptionalDouble.empty();
    private OptionalDouble warmupStartMs = OptionalDouble.empty();

    Engine(long id, double overloadWindowMs) {
        this.id = id;
        sentWork = new SlidingWindowCounter(overloadWindowMs);
    }

    /** Returns the engine's number, the same at every front end. */
    public long id() {
        return id;
    }

    /** Returns the id folded to two bytes, as gossip names it. */
    public int gossipId() {
        return (int) ((id ^ id >>> 16 ^ id >>> 32) & GOSSIP_ID_MASK);
    }

    /** Returns the engine as service discovery last listed it; null before the first listing. */
    public Endpoint endpoint() {
        return endpoint;
    }

    /** Returns the number of its cores. */
    public int cores() {
        return cores;
    }

    /** Returns its memory; 0 if the settings do not state it. */
    public double memoryMb() {
        return memoryMb;
    }

    /** Returns its health. */
    public EngineHealth health() {
        return health;
    }

    /** Returns its load report and health check. */
    public EngineLoadState load() {
        return load;
    }

    /** Returns the attempts in flight there, in the order in which they were started. */
    public Set<Attempt> attempts() {
        return attemptsView;
    }

    /** Returns the threads of the attempts in flight. */
    public int threadsInFlight() {
        return threadsInFlight;
    }

    /** Returns the memory granted to the attempts in flight. */
    public double grantedMb() {
        return grantedMb;
    }

    /** Returns what the engine is to new requests. */
    public EngineState state() {
        return EngineState.of(listing, maintenance, health.isEjected());
    }

    /** Returns whether it is listed as ready and not under maintenance; it may be ejected. */
    public boolean isReady() {
        return listing == EndpointState.READY && !isUnderMaintenance();
    }

    /** Returns whether service discovery does not list it, or lists its process as ended. */
    public boolean isGone() {
        return listing == EndpointState.GONE;
    }

    /** Returns whether an operator has taken it out. */
    public boolean isUnderMaintenance() {
        return maintenance == EngineMaintenance.UNDER_MAINTENANCE;
    }

    /** Returns whether it was released from maintenance and has not answered since. */
    public boolean isAwaitingFirstAnswer() {
        return maintenance == EngineMaintenance.RELEASED;
    }

    /** Applies its endpoint and returns whether its process has restarted since the last one. */
    boolean update(Endpoint listed, EngineKind kind) {
        double lastStartMs = endpoint == null ? Endpoint.STARTED_LONG_AGO : endpoint.startedAtMs();
        boolean restarted = listed.startedAtMs() != lastStartMs;
        endpoint = listed;
        listing = listed.state();
        cores = kind.cores();
        memoryMb = kind.memoryMb();
        startedAtMs = listed.announcedStartMs();
        updateWarmupStart();
        return restarted;
    }

    /** A full snapshot has come; the engine is gone unless the snapshot lists it. */
    void unlist() {
        listing = EndpointState.GONE;
    }

    /** An operator takes the engine out. Attempts in flight go on. */
    public void beginMaintenance() {
        maintenance = maintenance.begin();
        health.setConsecutiveFailures(0);
    }

    /**
     * An operator releases the engine. It counts as restarted then, as it may have been meanwhile.
     *
     * @param atMs when; a time before the clock's origin counts as long ago
     */
    public void release(double atMs) {
        maintenance = maintenance.release();
        releasedAtMs = atMs > 0 ? OptionalDouble.of(atMs) : OptionalDouble.empty();
        health.clearFailures();
        updateWarmupStart();
    }

    /** The engine has answered an attempt. */
    public void recordSuccess(double nowMs) {
        health.recordSuccess(nowMs);
        maintenance = maintenance.answered();
    }

    /**
     * Its process seems to have ended. It may restart, cold, before service discovery lists the new start.
     */
    public void recordConnectionLost(double nowMs) {
        connectionLostMs = OptionalDouble.of(nowMs);
        updateWarmupStart();
    }

    /** Adds an attempt that starts now, and the work that it weighs in the slow-start budget. */
    public void startAttempt(Attempt attempt, double slowStartWorkMs, double nowMs) {
        if (attempts.isEmpty()) {
            health.recordResponse(nowMs);
        }
        attempts.add(attempt);
        threadsInFlight += attempt.threads();
        load.recordSent(attempt.threads());
        grantedMb += attempt.grantMb();
        sentWork.add(nowMs, slowStartWorkMs);
    }

    /** Removes an attempt that has ended. */
    public void endAttempt(Attempt attempt) {
        attempts.remove(attempt);
        threadsInFlight -= attempt.threads();
        grantedMb = attempts.isEmpty() ? 0 : grantedMb - attempt.grantMb();
    }

    /** Returns the work sent within the window of the slow-start rule. */
    public double sentWorkMs(double nowMs) {
        return sentWork.sum(nowMs);
    }

    /** Records how much slower than usual an answer was, as a logarithm. */
    public void recordSlowdown(double logRatio, double nowMs) {
        logSlowdown.add(nowMs, logRatio);
    }

    /** Returns the factor by which it was recently slower than usual. */
    public double slowdown(double nowMs) {
        return Math.exp(logSlowdown.mean(nowMs, PRIOR_ANSWERS, 0));
    }

    /** Returns since when it may be warming up; empty if it has run for long. */
    public OptionalDouble warmupStartMs() {
        return warmupStartMs;
    }

    /** Returns whether a lost connection is the only sign of its last start. */
    public boolean isStartUnannounced() {
        OptionalDouble announced = latest(startedAtMs, releasedAtMs);
        return connectionLostMs.isPresent()
                && (announced.isEmpty() || connectionLostMs.getAsDouble() > announced.getAsDouble());
    }

    private void updateWarmupStart() {
        warmupStartMs = latest(latest(startedAtMs, releasedAtMs), connectionLostMs);
    }

    private static OptionalDouble latest(OptionalDouble first, OptionalDouble second) {
        if (first.isEmpty() || second.isEmpty()) {
            return first.isPresent() ? first : second;
        }
        return first.getAsDouble() >= second.getAsDouble() ? first : second;
    }
}
