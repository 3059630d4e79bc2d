package lineward.scheduling;

import java.util.List;

/** What engines reported of their load, to this front end or by gossip. */
final class LoadReports {
    /** Lowest random factor on an engine's limit: else all front ends would act on one report at once. */
    static final double MIN_LIMIT_JITTER = 0.8;
    /** A report is trusted for so long: reports are refreshed several times a second. */
    private static final double FRESH_FOR_MS = 1_500;
    /** Crowding assumed of what is not seen, in threads a core: a busy fleet below saturation. */
    private static final double DEFAULT_THREADS_PER_CORE = 0.7;
    /** Weight of one report in the fleet's mean crowding. */
    private static final double CROWDING_STEP = 0.05;

    private final SchedulerContext context;
    private final GossipCodec gossip;
    private final int fieldCount;
    private final int inFlightField;
    private final int memoryField;
    private double threadsPerCore = DEFAULT_THREADS_PER_CORE;

    LoadReports(SchedulerContext context) {
        this.context = context;
        List<LoadReportField> fields = context.settings.reporting().fields();
        this.gossip = new GossipCodec(fields);
        this.fieldCount = fields.size();
        this.inFlightField = fields.indexOf(LoadReportField.IN_FLIGHT);
        this.memoryField = fields.indexOf(LoadReportField.MEMORY);
    }

    /** Returns whether the settings let front ends check engines for each other. */
    boolean areShared() {
        SchedulerSettings.Capabilities may = context.settings.capabilities();
        return may.healthChecks() && may.gossip() && inFlightField >= 0;
    }

    /** Returns whether the engine's last report still holds. */
    boolean areFresh(Engine engine) {
        return inFlightField >= 0 && context.nowMs() - engine.reportedAtMs < FRESH_FOR_MS;
    }

    /** Returns the threads at an engine, by its last report and what was sent there since. */
    double threadsAt(Engine engine) {
        double reported = engine.loadReport[inFlightField] * context.threadsPerRequest();
        return Math.max(engine.threadsInFlight, reported + engine.threadsSentSinceReport);
    }

    /** Returns the mean threads a core at the engines that reported. */
    double threadsPerCore() {
        return threadsPerCore;
    }

    /** Returns whether reports tell the memory in use. */
    boolean includeMemory() {
        return memoryField >= 0;
    }

    /** Returns the ratio of its memory in use that an engine reported. */
    double memoryInUse(Engine engine) {
        return engine.loadReport[memoryField];
    }

    /** Takes in a report; one without the number in flight, or with values missing, is ignored. */
    void apply(Engine engine, double[] values) {
        if (inFlightField < 0 || values.length < fieldCount) {
            return;
        }
        engine.loadReport = values;
        engine.reportedAtMs = context.nowMs();
        engine.threadsSentSinceReport = 0;
        engine.limitJitter = MIN_LIMIT_JITTER + 2 * (1 - MIN_LIMIT_JITTER) * context.random.nextDouble();
        threadsPerCore += CROWDING_STEP * (threadsAt(engine) / engine.cores - threadsPerCore);
    }

    /** Returns the bytes of one engine's report in gossip. */
    int gossipBytes() {
        return gossip.reportBytes();
    }

    /** Collects an engine's report for the other front ends. */
    void collectGossip(Engine engine) {
        if (areShared() && gossip.hasCapacity() && areFresh(engine)) {
            gossip.collect(new GossipCodec.EngineReport(engine.gossipId(), engine.loadReport));
        }
    }

    /** Sends what was collected, unless a health check is about to add to it. */
    void publishGossip(double checkDurationMs) {
        if (gossip.hasPending() && !hasRecentCheck(checkDurationMs)) {
            context.emit(new SchedulerAction.BroadcastGossip(gossip.drainPending()));
        }
    }

    private boolean hasRecentCheck(double withinMs) {
        double nowMs = context.nowMs();
        for (Engine engine : context.engines.values()) {
            if (nowMs - engine.healthCheckStartedMs < withinMs) {
                return true;
            }
        }
        return false;
    }

    /** Reads gossip, which may be late or of engines not known here; those are ignored. */
    void applyGossip(byte[] payload) {
        for (GossipCodec.EngineReport report : gossip.decode(payload)) {
            for (Engine engine : context.engines.values()) {
                if (engine.gossipId() == report.gossipId()) {
                    apply(engine, report.values());
                }
            }
        }
    }
}
