package lineward.lifecycle;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lineward.frontend.ProtocolServer;
import lineward.operations.AdminOperations;
import lineward.operations.Metrics;
import lineward.scheduling.decision.ServerAdmissionPolicy;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Carries out the state transitions of this process: start, operators' drains, and the graceful shutdown
 * after SIGTERM. All methods are called on the event loop, except {@link #shutdownGracefully}.
 */
public final class Lifecycle implements AdminOperations {
    /**
     * How this process shuts down after SIGTERM.
     *
     * @param isListenerShared whether other processes accept on the clients' socket, so that this one
     *     stops accepting at once
     * @param shutdownDeadlineMs time after SIGTERM at which open requests are failed
     */
    public record ShutdownOptions(boolean isListenerShared, int shutdownDeadlineMs) {}

    private static final Logger LOG = LoggerFactory.getLogger(Lifecycle.class);
    /**
     * At a shutdown without a hot restart, connections are accepted and kept open for this time after
     * SIGTERM: requests arrive for another 0.6 s, and slightly longer on a slow network.
     */
    private static final int REQUEST_ARRIVAL_GRACE_MS = 900;
    /**
     * Interval of polls for the maintenance commands of other processes, which must take effect within a
     * second.
     */
    private static final int PEER_POLL_MS = 100;

    private static final double NANOS_PER_MS = 1e6;

    private final EventLoop loop;
    private final Ticker ticker;
    private final List<ProtocolServer> servers;
    private final Metrics metrics;
    private final HotRestart hotRestart;
    private final ShutdownOptions options;
    private final CountDownLatch drainedLatch = new CountDownLatch(1);
    private ProcessState state = ProcessState.STARTING;
    /** Set at the start of each drain or shutdown; not read in other states. */
    private long drainStartNanos;

    /**
     * Creates the lifecycle of a process that is starting.
     *
     * @param servers the servers of all protocols; more may be added to the list until {@link #startServing}
     * @param options how this process shuts down
     */
    public Lifecycle(
            EventLoop loop,
            Ticker ticker,
            List<ProtocolServer> servers,
            Metrics metrics,
            HotRestart hotRestart,
            ShutdownOptions options) {
        this.loop = loop;
        this.ticker = ticker;
        this.servers = servers;
        this.metrics = metrics;
        this.hotRestart = hotRestart;
        this.options = options;
    }

    /**
     * Starts the exchange of state with the other processes of this front end: reads their files and writes
     * the file of this process, now and periodically.
     */
    public void startStateExchange() {
        hotRestart.readPeers();
        hotRestart.writeState();
        ticker.every(PEER_POLL_MS, hotRestart::readPeers);
        ticker.every(HotRestart.HEARTBEAT_MS, hotRestart::writeState);
    }

    /**
     * Called once all protocols listen: makes this process ready, unless an operator has started a drain, and
     * starts the periodic close of drained connections.
     */
    public void startServing() {
        state = state.afterListening();
        ticker.every(Ticker.TICK_MS, this::closeDrainedConnections);
    }

    @Override
    public boolean isReady() {
        return state.isReady();
    }

    /**
     * Ignores a command that is already in effect, because releasing an engine that is not excluded would
     * restart its slow start.
     */
    @Override
    public boolean setMaintenance(String engine, boolean excluded) {
        boolean isKnown =
                servers.stream().anyMatch(server -> server.coordinator().hasEngine(engine));
        if (isKnown && excluded != hotRestart.isExcluded(engine)) {
            hotRestart.setMaintenance(engine, excluded);
        }
        return isKnown;
    }

    @Override
    public String metricsText() {
        return metrics.prometheusText(servers);
    }

    @Override
    public void startDrain() {
        ProcessState next = state.afterDrainStarted();
        if (next != state) {
            LOG.info("drain started: state={}", next);
            state = next;
            drainStartNanos = System.nanoTime();
            setAdmission(ServerAdmissionPolicy.Phase.DRAINING);
        }
    }

    @Override
    public boolean stopDrain() {
        ProcessState next = state.afterDrainStopped();
        if (next != state) {
            LOG.info("drain stopped: state={}", next);
            state = next;
            setAdmission(ServerAdmissionPolicy.Phase.OPEN);
        }
        return !state.isTerminating();
    }

    private void setAdmission(ServerAdmissionPolicy.Phase admission) {
        servers.forEach(server -> server.setAdmissionPhase(admission));
    }

    private void closeDrainedConnections() {
        if (state.isDraining()) {
            closeDrainedConnections(DrainSchedule.OPERATOR_DRAIN);
        } else if (state.isTerminating() && options.isListenerShared()) {
            closeDrainedConnections(DrainSchedule.HOT_RESTART);
        }
    }

    private void closeDrainedConnections(DrainSchedule schedule) {
        double elapsedMs = (System.nanoTime() - drainStartNanos) / NANOS_PER_MS;
        if (schedule.rejectsRequests(elapsedMs)) {
            setAdmission(ServerAdmissionPolicy.Phase.REJECTING);
        }
        if (schedule.closesConnections(elapsedMs)) {
            double probability = schedule.closeProbability(elapsedMs, Ticker.TICK_MS);
            servers.forEach(server -> server.closeIdleClients(probability));
        }
    }

    /**
     * Shuts down gracefully after SIGTERM: serves requests that still arrive, completes all open ones, and
     * returns once every response has been written. Blocks; called once, on the thread of the shutdown hook.
     */
    public void shutdownGracefully() {
        LOG.info("graceful shutdown started: signal=SIGTERM deadlineMs={}", options.shutdownDeadlineMs());
        loop.execute(this::beginShutdown);
        try {
            drainedLatch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        loop.submit(hotRestart::stop).syncUninterruptibly();
        LOG.info("graceful shutdown complete: openRequests=0");
    }

    private void beginShutdown() {
        state = state.afterTermination();
        drainStartNanos = System.nanoTime();
        servers.forEach(server -> server.setShutdownDeadline(options.shutdownDeadlineMs()));
        if (options.isListenerShared()) {
            servers.forEach(ProtocolServer::stopListening);
        } else {
            setAdmission(ServerAdmissionPolicy.Phase.DRAINING);
        }
        schedule(
                () -> ticker.every(Ticker.TICK_MS, this::advanceShutdown),
                options.isListenerShared() ? 0 : REQUEST_ARRIVAL_GRACE_MS);
        schedule(this::failOpenRequests, options.shutdownDeadlineMs());
    }

    private void schedule(Runnable task, int delayMs) {
        loop.schedule(task, delayMs, TimeUnit.MILLISECONDS).addListener(Lifecycle::logFailure);
    }

    private static void logFailure(Future<?> task) {
        // The shutdown of the event loop cancels tasks, which is not a failure.
        if (!task.isSuccess() && !task.isCancelled()) {
            LOG.error("shutdown task failed", task.cause());
        }
    }

    /** Fails the open requests; servers whose requests end at the deadline of their class ignore it. */
    private void failOpenRequests() {
        int openRequests = servers.stream()
                .mapToInt(server -> server.coordinator().openRequestCount())
                .sum();
        LOG.info("shutdown deadline passed: openRequests={}", openRequests);
        setAdmission(ServerAdmissionPolicy.Phase.REJECTING);
        servers.forEach(ProtocolServer::failOpenRequests);
    }

    private void advanceShutdown() {
        if (!options.isListenerShared()) {
            servers.forEach(ProtocolServer::stopListening);
            servers.forEach(server -> server.closeIdleClients(1));
        }
        if (servers.stream().allMatch(ProtocolServer::isDrained)) {
            drainedLatch.countDown();
        }
    }
}
