package lineward.lifecycle;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lineward.frontend.ProtocolServer;
import lineward.frontend.ProtocolServer.Admission;
import lineward.operations.AdminOperations;
import lineward.operations.Metrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What this process is at: starting, serving, sending its clients away because an operator asks, or ending
 * because of SIGTERM. All but {@link #end} runs on the event loop.
 */
public final class Lifecycle implements AdminOperations {
    private static final Logger LOG = LoggerFactory.getLogger(Lifecycle.class);
    /**
     * How this process ends after SIGTERM.
     *
     * @param inherited whether others accept on the clients' socket: none is accepted here any more then
     * @param lastWordMs when who still waits has to hear
     */
    public record Ending(boolean inherited, int lastWordMs) {}

    /** After SIGTERM requests go on coming for 0.6 s, a little later on a slow wire. */
    private static final int STILL_COMING_MS = 900;
    /** A drain: new connections come for 0.3 s yet; then the resting ones close one by one. */
    private static final double FIRST_CLOSE_MS = 300;

    private static final double ALL_CLOSE_MS = 1500;
    /** At an upgrade they come back to the same socket: the sooner, the shorter two share the work. */
    private static final double ALL_HANDED_MS = 400;
    /** From then on requests are refused: at 4 s a connection may carry none of the last 2 s. */
    private static final double REFUSE_MS = 1800;

    private static final double NANOS = 1e6;
    /** Another process's word on an engine has to hold here well within a second. */
    private static final int LOOK_MS = 100;

    private final EventLoop loop;
    private final Ticker ticker;
    private final List<ProtocolServer> doors;
    private final Metrics figures;
    private final CountDownLatch quiet = new CountDownLatch(1);
    private final Ending how;
    private final HotRestart handOver;
    private boolean serving;
    private boolean ending;
    private boolean draining;
    private long leavingSince;

    /**
     * @param doors all fronts
     * @param how this process will end
     */
    public Lifecycle(
            EventLoop loop,
            Ticker ticker,
            List<ProtocolServer> doors,
            Metrics figures,
            HotRestart handOver,
            Ending how) {
        this.figures = figures;
        this.handOver = handOver;
        this.how = how;
        this.loop = loop;
        this.ticker = ticker;
        this.doors = doors;
    }

    /** Takes in what a process before this one was told, and watches for more. */
    public void begin() {
        handOver.look();
        handOver.write();
        ticker.every(LOOK_MS, handOver::look);
        ticker.every(HotRestart.BEAT_MS, handOver::write);
    }

    /** All fronts listen: from now on this process says that it is ready. */
    public void serve() {
        serving = true;
        ticker.every(Ticker.TICK_MS, this::sendAway);
    }

    @Override
    public boolean isReady() {
        return serving && !draining && !ending;
    }

    /** What is used already is told so and nothing more: it has not been away. */
    @Override
    public boolean setMaintenance(String engine, boolean out) {
        boolean known = doors.stream().anyMatch(d -> d.coordinator().isKnown(engine));
        if (known && out != handOver.isOut(engine)) {
            handOver.say(engine, out);
        }
        return known;
    }

    @Override
    public String metrics() {
        return figures.text(doors);
    }

    @Override
    public void startDrain() {
        if (!draining) {
            LOG.info("drain: clients are sent away");
            draining = true;
            leavingSince = System.nanoTime();
            admit(Admission.DRAINING);
        }
    }

    @Override
    public boolean stopDrain() {
        if (draining && !ending) {
            LOG.info("drain over: clients are taken again");
            admit(Admission.OPEN);
        }
        draining &= ending;
        return !ending;
    }

    private void admit(Admission intake) {
        doors.forEach(d -> d.setAdmission(intake));
    }

    /** Danger: clients whose connections all close at once come back elsewhere all at once. */
    private void sendAway() {
        if (ending ? !how.inherited() : !draining) {
            return;
        }
        double since = (System.nanoTime() - leavingSince) / NANOS;
        if (since >= REFUSE_MS && !ending) {
            admit(Admission.REJECTING);
        }
        if (since >= FIRST_CLOSE_MS) {
            double left = (ending ? ALL_HANDED_MS : ALL_CLOSE_MS) - since;
            double chance = Ticker.TICK_MS / Math.max(Ticker.TICK_MS, left);
            doors.forEach(d -> d.closeIdleClients(chance));
        }
    }

    /**
     * SIGTERM: serves on while requests still come and answers all that is open; returns when nobody is owed
     * anything. Called on a thread of its own.
     */
    public void end() {
        LOG.info("SIGTERM: serving on until all is answered");
        loop.execute(() -> {
            ending = true;
            leavingSince = System.nanoTime();
            doors.forEach(d -> d.setShutdownDeadline(how.lastWordMs()));
            if (how.inherited()) {
                doors.forEach(ProtocolServer::stopListening);
            } else {
                admit(Admission.DRAINING);
            }
            loop.schedule(
                    () -> ticker.every(Ticker.TICK_MS, this::finish),
                    how.inherited() ? 0 : STILL_COMING_MS,
                    TimeUnit.MILLISECONDS);
            loop.schedule(this::lastWord, how.lastWordMs(), TimeUnit.MILLISECONDS);
        });
        try {
            quiet.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        loop.submit(handOver::leave).syncUninterruptibly();
        LOG.info("all is answered");
    }

    private void lastWord() {
        LOG.info(
                "last word: {} requests fail",
                doors.stream().mapToInt(d -> d.coordinator().openRequests()).sum());
        admit(Admission.REJECTING);
        doors.forEach(ProtocolServer::failOpenRequests);
    }

    private void finish() {
        if (!how.inherited()) {
            doors.forEach(ProtocolServer::stopListening);
            doors.forEach(d -> d.closeIdleClients(1));
        }
        if (doors.stream().allMatch(ProtocolServer::isDrained)) {
            quiet.countDown();
        }
    }
}
