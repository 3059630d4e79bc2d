package lineward.scheduling.state;

import java.util.List;
import java.util.OptionalDouble;
import lineward.scheduling.LoadReportField;
import lineward.scheduling.SchedulerAction;
import lineward.scheduling.SchedulerSettings;

/** The load reports of engines, from this front end's health checks and from gossip. */
public final class LoadReports {
    /**
     * Minimum of the random factor on an engine's limit. The factor keeps front ends with the same report
     * from all deciding alike.
     */
    public static final double MIN_LIMIT_JITTER = 0.8;

    private static final double FRESH_FOR_MS = 1_500;
    /** Threads per core assumed before the first report: those of a busy fleet below saturation. */
    private static final double DEFAULT_THREADS_PER_CORE = 0.7;
    /** Weight of one report in the fleet's moving average of threads per core. */
    private static final double REPORT_WEIGHT = 0.05;

    private static final int NO_FIELD = -1;

    private final SchedulerContext context;
    private final GossipCodec gossip;
    private final int fieldCount;
    private final int inFlightField;
    private final int memoryField;
    private double threadsPerCore = DEFAULT_THREADS_PER_CORE;

    /** Creates a store without reports. */
    public LoadReports(SchedulerContext context) {
        this.context = context;
        List<LoadReportField> fields = context.settings().loadReporting().fields();
        this.gossip = new GossipCodec(fields);
        this.fieldCount = fields.size();
        this.inFlightField = fields.indexOf(LoadReportField.IN_FLIGHT);
        this.memoryField = fields.indexOf(LoadReportField.MEMORY);
    }

    private boolean hasLoadField() {
        return inFlightField != NO_FIELD;
    }

    /** Returns whether reports include the memory in use. */
    public boolean hasMemoryField() {
        return memoryField != NO_FIELD;
    }

    /** Returns whether front ends share load reports by gossip, according to the settings. */
    public boolean areShared() {
        SchedulerSettings.Capabilities capabilities = context.settings().capabilities();
        return capabilities.healthChecks() && capabilities.gossip() && hasLoadField();
    }

    /** Returns whether the engine's last report is recent enough to use. */
    public boolean hasFreshReport(Engine engine) {
        OptionalDouble reportedAtMs = engine.load().reportedAtMs();
        if (!hasLoadField() || reportedAtMs.isEmpty()) {
            return false;
        }
        return context.nowMs() - reportedAtMs.getAsDouble() < FRESH_FOR_MS;
    }

    /**
     * Returns the estimated threads on an engine: those of its last report and of this front end's attempts
     * since, but at least those of this front end's attempts in flight.
     */
    public double threadsAt(Engine engine) {
        double reported = engine.load().value(inFlightField) * context.demand().threadsPerRequest();
        return Math.max(engine.threadsInFlight(), reported + engine.load().threadsSentSinceReport());
    }

    /** Returns the moving average of the threads per core, over the reports of all engines. */
    public double threadsPerCore() {
        return threadsPerCore;
    }

    /** Returns the fraction of an engine's memory that is in use, by its last report. */
    public double memoryInUseRatio(Engine engine) {
        return engine.load().value(memoryField);
    }

    /** Applies a report; it is ignored if reports do not include load or if values are missing. */
    public void apply(Engine engine, double[] values) {
        if (!hasLoadField() || values.length < fieldCount) {
            return;
        }
        double jitter = MIN_LIMIT_JITTER + 2 * (1 - MIN_LIMIT_JITTER) * context.drawRandom();
        engine.load().applyReport(values, context.nowMs(), jitter);
        threadsPerCore += REPORT_WEIGHT * (threadsAt(engine) / engine.cores() - threadsPerCore);
    }

    /** Returns the encoded size of one report as a fraction of the maximum gossip message. */
    public double reportSizeRatio() {
        return gossip.reportBytes() / (double) GossipCodec.MAX_PAYLOAD_BYTES;
    }

    /** Adds an engine's report to the next gossip message, if the report is fresh and fits. */
    public void collectGossip(Engine engine) {
        if (areShared() && gossip.hasCapacity() && hasFreshReport(engine)) {
            gossip.collect(new GossipCodec.EngineReport(
                    engine.gossipId(), engine.load().values()));
        }
    }

    /**
     * Sends the collected reports, unless a health check that started less than {@code checkDurationMs} ago
     * is in flight: its report may go into the same message.
     */
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

    /** Applies the reports of a gossip message; reports of unknown engines are ignored. */
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
