package lineward.scheduling.state;

import java.util.List;
import java.util.OptionalDouble;
import lineward.scheduling.LoadReportField;
import lineward.scheduling.SchedulerAction;
import lineward.scheduling.SchedulerSettings;

/** The load reports of engines, from this front end's health checks and from gossip. */
public final class LoadReports {
    /** Least random factor on an engine's limit, so that front ends do not all act on one report. */
    public static final double MIN_LIMIT_JITTER = 0.8;

    private static final double FRESH_FOR_MS = 1_500;
    /** Threads a core assumed of load that no report shows: a busy fleet below saturation. */
    private static final double DEFAULT_THREADS_PER_CORE = 0.7;
    /** Weight of one report in the fleet's mean threads a core. */
    private static final double REPORT_WEIGHT = 0.05;

    private static final int NO_FIELD = -1;

    private final SchedulerContext context;
    private final GossipCodec gossip;
    private final int fieldCount;
    private final int inFlightField;
    private final int memoryField;
    private double threadsPerCore = DEFAULT_THREADS_PER_CORE;

    /** Creates the reports of a scheduler that has received none. */
    public LoadReports(SchedulerContext context) {
        this.context = context;
        List<LoadReportField> fields = context.settings().reporting().fields();
        this.gossip = new GossipCodec(fields);
        this.fieldCount = fields.size();
        this.inFlightField = fields.indexOf(LoadReportField.IN_FLIGHT);
        this.memoryField = fields.indexOf(LoadReportField.MEMORY);
    }

    private boolean includeLoad() {
        return inFlightField != NO_FIELD;
    }

    /** Returns whether reports state the memory in use. */
    public boolean includeMemory() {
        return memoryField != NO_FIELD;
    }

    /** Returns whether the settings let front ends share load reports by gossip. */
    public boolean areShared() {
        SchedulerSettings.Capabilities may = context.settings().capabilities();
        return may.healthChecks() && may.gossip() && includeLoad();
    }

    /** Returns whether the engine's last report is recent enough to use. */
    public boolean areFresh(Engine engine) {
        OptionalDouble reportedAtMs = engine.load().reportedAtMs();
        if (!includeLoad() || reportedAtMs.isEmpty()) {
            return false;
        }
        return context.nowMs() - reportedAtMs.getAsDouble() < FRESH_FOR_MS;
    }

    /** Returns the threads at an engine by its last report and the attempts started since. */
    public double threadsAt(Engine engine) {
        double reported = engine.load().value(inFlightField) * context.demand().threadsPerRequest();
        return Math.max(engine.threadsInFlight(), reported + engine.load().threadsSentSinceReport());
    }

    /** Returns the mean threads a core at the engines that reported. */
    public double threadsPerCore() {
        return threadsPerCore;
    }

    /** Returns the fraction of its memory in use by an engine's last report. */
    public double memoryInUse(Engine engine) {
        return engine.load().value(memoryField);
    }

    /** Applies a report; one without load or with values missing is ignored. */
    public void apply(Engine engine, double[] values) {
        if (!includeLoad() || values.length < fieldCount) {
            return;
        }
        double jitter = MIN_LIMIT_JITTER + 2 * (1 - MIN_LIMIT_JITTER) * context.drawRandom();
        engine.load().applyReport(values, context.nowMs(), jitter);
        threadsPerCore += REPORT_WEIGHT * (threadsAt(engine) / engine.cores() - threadsPerCore);
    }

    /** Returns the size of one engine's report as a fraction of the longest gossip message. */
    public double gossipMessageRatio() {
        return gossip.reportBytes() / (double) GossipCodec.MAX_PAYLOAD_BYTES;
    }

    /** Adds an engine's report to the next gossip message. */
    public void collectGossip(Engine engine) {
        if (areShared() && gossip.hasCapacity() && areFresh(engine)) {
            gossip.collect(new GossipCodec.EngineReport(
                    engine.gossipId(), engine.load().values()));
        }
    }

    /** Sends the collected reports, unless a health check started within that time may add to them. */
    public void publishGossip(double checkDurationMs) {
        if (gossip.hasPending() && !hasRecentCheck(checkDurationMs)) {
            context.emit(new SchedulerAction.BroadcastGossip(gossip.drainPending()));
        }
    }

    private boolean hasRecentCheck(double withinMs) {
        for (Engine engine : context.engines()) {
            OptionalDouble startedMs = engine.load().healthCheckStartedMs();
            if (startedMs.isPresent() && context.nowMs() - startedMs.getAsDouble() < withinMs) {
                return true;
            }
        }
        return false;
    }

    /** Applies the reports of a gossip message; those of unknown engines are ignored. */
    public void applyGossip(byte[] payload) {
        for (GossipCodec.EngineReport report : gossip.decode(payload)) {
            for (Engine engine : context.engines()) {
                if (engine.gossipId() == report.gossipId()) {
                    apply(engine, report.values());
                }
            }
        }
    }
}
