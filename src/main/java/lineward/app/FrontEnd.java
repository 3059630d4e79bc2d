package lineward.app;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.HashedWheelTimer;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lineward.core.FrontClock;
import lineward.core.Planner;
import lineward.engine.EngineFleet;
import lineward.journal.EngineList;
import lineward.journal.JournalPoll;
import lineward.thrift.Call;
import lineward.thrift.ThriftFront;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import peatwick.Control;

/** Wires one front end: one event loop, the wheel's tick, the fronts with their planners. */
final class FrontEnd {
    private static final Logger LOG = LoggerFactory.getLogger(FrontEnd.class);
    private static final int TICK_MS = 5;
    private static final int WHEEL_SLOTS = 64;
    private static final int MOST_REQUESTS = 8192;
    /** Clients may take a third of the descriptors; the rest is for those that open before closing. */
    private static final double CLIENT_PART = 0.4;
    private static final int LINKS_PER_ENGINE = 8;
    /** After SIGTERM requests go on coming for 0.6 s, a little later on a slow wire. */
    private static final int STILL_COMING_MS = 1200;
    private static final int IDLE_SWEEP_MS = 1000;

    private final EventLoopGroup group;
    private final EventLoop loop;
    private final ThriftFront front;
    private final JournalPoll journal;
    private final EngineFleet fleet;
    private final Config config;
    private final CountDownLatch drained = new CountDownLatch(1);
    private boolean tickPending;

    FrontEnd(Config config) {
        this.config = config;
        group = new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("loop"),
                NioIoHandler.newFactory());
        loop = group.next();
        FrontClock clock = new FrontClock();
        Planner<Call> planner = new Planner<>(new Control(config.settings(), config.seed()), MOST_REQUESTS,
                new LogTracer<>());
        fleet = new EngineFleet(group, new EngineFleet.Limits(config.limit("connect-timeout").asInt(250),
                config.limit("conn-idle").asDouble(30_000), config.limit("streams-per-conn").asInt(100),
                LINKS_PER_ENGINE));
        front = new ThriftFront(new ThriftFront.Names(config.names("classes"), config.names("tenants"),
                (int) (config.sockets() * CLIENT_PART)), planner, fleet, clock, this::news);
        EngineList list = new EngineList(config.names("skus"), config.names("zones"), (whole, entries) -> {
            fleet.list(whole, entries);
            planner.list(whole, entries);
            news();
        });
        try {
            loop.submit(() -> list.take(config.known())).sync();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IllegalArgumentException e) {
            throw new ConfigException("known: " + e.getMessage());
        }
        journal = new JournalPoll(group, config.journal(), list);
    }

    /** Runs until SIGTERM and the last answer after it. */
    void run() {
        HashedWheelTimer wheel = new HashedWheelTimer(new DefaultThreadFactory("wheel", true), TICK_MS,
                TimeUnit.MILLISECONDS, WHEEL_SLOTS, false, -1, loop);
        every(wheel, TICK_MS, front::tick);
        every(wheel, IDLE_SWEEP_MS, fleet::closeIdle);
        journal.start();
        Channel listener;
        try {
            listener = front.listen(group, config.listen()).syncUninterruptibly().channel();
        } catch (Exception e) {
            throw new ConfigException("can't listen on " + config.listen() + ": " + e.getMessage());
        }
        LOG.info("{} listens on {}", config.name(), listener.localAddress());
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(wheel), "drain"));
    }

    /** What came in within this turn of the loop is decided on together, at its end. */
    private void news() {
        if (!tickPending) {
            tickPending = true;
            loop.execute(() -> {
                tickPending = false;
                front.tick();
            });
        }
    }

    private static void every(HashedWheelTimer wheel, int ms, Runnable task) {
        wheel.newTimeout(timeout -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("tick failed", e);
            }
            every(wheel, ms, task);
        }, ms, TimeUnit.MILLISECONDS);
    }

    /** Serves on while requests still come, answers all that is open, then ends the process with status 0. */
    private void drain(HashedWheelTimer wheel) {
        LOG.info("SIGTERM: serving on until all is answered");
        loop.execute(front::drain);
        loop.schedule(() -> every(wheel, TICK_MS, () -> {
            front.closeIdle();
            if (front.isQuiet()) {
                drained.countDown();
            }
        }), STILL_COMING_MS, TimeUnit.MILLISECONDS);
        try {
            drained.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Runtime.getRuntime().halt(0);
    }
}
