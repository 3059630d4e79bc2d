package lineward.scheduling.state;

import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.OptionalDouble;
import java.util.Set;
import lineward.scheduling.Endpoint;
import lineward.scheduling.EndpointState;
import lineward.scheduling.EngineKind;
import lineward.scheduling.estimation.DecayingMean;
import lineward.scheduling.estimation.SlidingWindowSum;

/**
 * One engine: its listing in service discovery, maintenance, health, load, and attempts in flight. Times are
 * in milliseconds of the scheduler's clock, memory is in megabytes.
 */
public final class Engine {
    private static final double SLOWDOWN_HALF_LIFE_MS = 3_000;
    /** Number of prior runs at the typical speed, so that a single slow run has little weight. */
    private static final double PRIOR_RUNS = 2;

    private static final int GOSSIP_ID_MASK = 0xffff;

    private final long id;
    private final Set<Attempt> attemptsInFlight = new LinkedHashSet<>();
    private final Set<Attempt> attemptsInFlightView = Collections.unmodifiableSet(attemptsInFlight);
    private final EngineHealth health = new EngineHealth();
    private final EngineLoadState load = new EngineLoadState();
    private final DecayingMean logSlowdown = new DecayingMean(SLOWDOWN_HALF_LIFE_MS);
    /** Work of all attempts sent within the window of the slow-start rule, regardless of their outcomes. */
    private final SlidingWindowSum sentWork;

    private Endpoint endpoint;
    private EndpointState listing = EndpointState.GONE;
    private EngineMaintenance maintenance = EngineMaintenance.NONE;
    private int cores = 1;
    private double memoryMb;
    private int threadsInFlight;
    private double reservedMemoryMb;
    private OptionalDouble startedAtMs = OptionalDouble.empty();
    private OptionalDouble releasedAtMs = OptionalDouble.empty();
    private OptionalDouble connectionLostMs = OptionalDouble.empty();
    private OptionalDouble warmupStartMs = OptionalDouble.empty();

    Engine(long id, double slowStartWindowMs) {
        this.id = id;
        sentWork = new SlidingWindowSum(slowStartWindowMs);
    }

    /** Returns the engine's id, which is the same at every front end. */
    public long id() {
        return id;
    }

    /** Returns the id folded to two bytes, as used in gossip messages; distinct engines may share it. */
    public int gossipId() {
        return (int) ((id ^ id >>> 16 ^ id >>> 32) & GOSSIP_ID_MASK);
    }

    /** Returns the endpoint that service discovery last listed; null before the first listing. */
    public Endpoint endpoint() {
        return endpoint;
    }

    /** Returns the number of cores. */
    public int cores() {
        return cores;
    }

    /** Returns the size of the memory; 0 if unknown. */
    public double memoryMb() {
        return memoryMb;
    }

    /** Returns the engine's health. */
    public EngineHealth health() {
        return health;
    }

    /** Returns the engine's last load report and pending health check. */
    public EngineLoadState load() {
        return load;
    }

    /** Returns the attempts in flight on the engine, in start order, including those being cancelled. */
    public Set<Attempt> attemptsInFlight() {
        return attemptsInFlightView;
    }

    /** Returns the number of threads of the attempts in flight. */
    public int threadsInFlight() {
        return threadsInFlight;
    }

    /** Returns the memory that is reserved for the attempts in flight. */
    public double reservedMemoryMb() {
        return reservedMemoryMb;
    }

    /** Returns the engine's state with respect to new requests. */
    public EngineState state() {
        return EngineState.of(listing, maintenance, health.isEjected());
    }

    /** Returns whether the engine is listed as ready and not under maintenance; it may still be ejected. */
    public boolean isReady() {
        return listing == EndpointState.READY && !isUnderMaintenance();
    }

    /** Returns whether service discovery does not list the engine, or lists its process as ended. */
    public boolean isGone() {
        return listing == EndpointState.GONE;
    }

    /** Returns whether an operator has taken the engine out of service. */
    public boolean isUnderMaintenance() {
        return maintenance == EngineMaintenance.UNDER_MAINTENANCE;
    }

    /** Returns whether the engine was released from maintenance and has had no successful attempt since. */
    public boolean isAwaitingFirstSuccess() {
        return maintenance == EngineMaintenance.RELEASED;
    }

    /**
     * Applies a listed endpoint.
     *
     * @return whether the listed start time has changed, which means that the process was restarted; the
     *     first endpoint is compared with {@link Endpoint#STARTED_LONG_AGO}
     */
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

    /** Marks the engine as gone, until a full snapshot or an update lists it again. */
    void markGone() {
        listing = EndpointState.GONE;
    }

    /** Records that an operator takes the engine out of service. Attempts in flight continue. */
    public void beginMaintenance() {
        maintenance = maintenance.begin();
        health.setConsecutiveFailures(0);
    }

    /**
     * Records that an operator releases the engine. The engine counts as restarted at that time, since it may
     * have been restarted during maintenance.
     *
     * @param atMs time of the release; 0 or less does not count as a restart
     */
    public void release(double atMs) {
        maintenance = maintenance.release();
        releasedAtMs = atMs > 0 ? OptionalDouble.of(atMs) : OptionalDouble.empty();
        health.markHealthy();
        updateWarmupStart();
    }

    /** Records that an attempt on the engine succeeded. */
    public void recordSuccess(double nowMs) {
        health.recordSuccess(nowMs);
        maintenance = maintenance.attemptSucceeded();
    }

    /**
     * Records that the engine's process has probably ended. It may restart and need to warm up before service
     * discovery lists the new start time.
     */
    public void recordConnectionLost(double nowMs) {
        connectionLostMs = OptionalDouble.of(nowMs);
        updateWarmupStart();
    }

    /** Adds an attempt that starts at {@code nowMs}, with its work in the slow-start budget. */
    public void startAttempt(Attempt attempt, double slowStartWorkMs, double nowMs) {
        if (attemptsInFlight.isEmpty()) {
            health.recordActivity(nowMs);
        }
        attemptsInFlight.add(attempt);
        threadsInFlight += attempt.threads();
        load.recordSent(attempt.threads());
        reservedMemoryMb += attempt.reservedMemoryMb();
        sentWork.add(nowMs, slowStartWorkMs);
    }

    /** Removes an ended attempt. */
    public void endAttempt(Attempt attempt) {
        attemptsInFlight.remove(attempt);
        threadsInFlight -= attempt.threads();
        reservedMemoryMb = attemptsInFlight.isEmpty() ? 0 : reservedMemoryMb - attempt.reservedMemoryMb();
    }

    /** Returns the work of all attempts sent within the window of the slow-start rule. */
    public double sentWorkMs(double nowMs) {
        return sentWork.sum(nowMs);
    }

    /** Records the logarithm of a run time relative to the typical run time of its class. */
    public void recordSlowdown(double logRatio, double nowMs) {
        logSlowdown.add(nowMs, logRatio);
    }

    /** Returns the factor by which recent runs on the engine were slower than typical. */
    public double slowdown(double nowMs) {
        return Math.exp(logSlowdown.mean(nowMs, PRIOR_RUNS, 0));
    }

    /** Returns the start of the warm-up: the last announced start, release or lost connection, if any. */
    public OptionalDouble warmupStartMs() {
        return warmupStartMs;
    }

    /** Returns whether the last start was only inferred from a lost connection. */
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
