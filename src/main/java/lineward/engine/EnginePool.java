package lineward.engine;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import lineward.frontend.RateLimitedLog;
import org.slf4j.LoggerFactory;

/** The connections to one engine. A new engine at an old address gets a pool of its own. */
final class EnginePool implements EngineConnection.Owner {
    /** Connections lost with no word between by which it is the engine that is at fault. */
    private static final int REPEATED = 4;
    /** Connections to one engine: more runs than that go to one engine only in a crowd. */
    private static final int MOST_LINKS = 16;
    /** Connections in a row that are late, with no word between, by which the engine can't be reached. */
    private static final int REPEATED_LATE = 2;
    /** A connection that takes so long to come up, as a part of what the settings allow, is passed by. */
    private static final int PASSED_BY = 4;
    /** It may come up yet, and serve others, until this multiple of that time. */
    static final int MAY_TAKE = 8;

    private static final RateLimitedLog LOG = new RateLimitedLog(LoggerFactory.getLogger(EnginePool.class));
    private final Bootstrap bootstrap;
    private final InetSocketAddress address;
    private final EngineCluster.Limits limits;
    private final BooleanSupplier room;
    private final Runnable sent;
    private final List<EngineConnection> links = new ArrayList<>();
    private int lost;
    /** Connections that were late, since one came up or the engine spoke. */
    private int late;

    /**
     * @param room tells whether one more connection may be opened
     * @param sent is called when a run has been written whole
     */
    EnginePool(
            Bootstrap bootstrap,
            InetSocketAddress address,
            EngineCluster.Limits limits,
            BooleanSupplier room,
            Runnable sent) {
        this.sent = sent;
        this.bootstrap = bootstrap;
        this.address = address;
        this.limits = limits;
        this.room = room;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Each run gets a connection of its own while there are enough: with one that spoils, all there fail. */
    void start(QueryAttempt run) {
        EngineConnection best = leastLoaded(run);
        if ((best == null || best.load() > 0) && links.size() < MOST_LINKS && room.getAsBoolean()) {
            best = connect();
        }
        if (best == null) {
            run.end(AttemptEnd.UNSENT);
        } else {
            best.start(run);
        }
    }

    private EngineConnection leastLoaded(QueryAttempt run) {
        return links.stream()
                .filter(l -> l.takes(run.id, limits.streams()))
                .min(Comparator.comparingInt(EngineConnection::load))
                .orElse(null);
    }

    private EngineConnection connect() {
        EngineConnection link = new EngineConnection(this);
        links.add(link);
        ChannelFuture opening = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new ReplyDecoder(), link);
                    }
                })
                .connect(address);
        link.connecting(opening.channel());
        opening.addListener(done -> {
            if (!done.isSuccess()) {
                link.failedToConnect(done.cause());
            }
        });
        bootstrap
                .config()
                .group()
                .next()
                .schedule(() -> passBy(link), limits.connectTimeoutMs() / PASSED_BY, TimeUnit.MILLISECONDS);
        bootstrap
                .config()
                .group()
                .next()
                .schedule(() -> overdue(link), limits.connectTimeoutMs(), TimeUnit.MILLISECONDS);
        return link;
    }

    /** What waits for a slow connection shares one that works. */
    private void passBy(EngineConnection slow) {
        for (QueryAttempt run : slow.release()) {
            links.stream()
                    .filter(l -> l.isLively() && l.takes(run.id, limits.streams()))
                    .min(Comparator.comparingInt(EngineConnection::load))
                    .orElse(slow)
                    .start(run);
        }
    }

    /**
     * Danger: some connections come up late, or never, to engines that are well. One that is late proves that
     * nothing ran and tells nothing of the engine, unless that repeats while nothing is heard of it.
     */
    private void overdue(EngineConnection link) {
        if (link.turnsLate()) {
            late++;
            LOG.info("no connection yet to engine", address, late + " late");
            boolean its = late >= REPEATED_LATE;
            link.release().forEach(run -> run.end(its ? AttemptEnd.UNREACHED : AttemptEnd.UNSENT));
        }
    }

    @Override
    public void up(EngineConnection link) {
        late = 0;
    }

    @Override
    public void closed(EngineConnection link) {
        links.remove(link);
    }

    @Override
    public void sent() {
        sent.run();
    }

    @Override
    public void heard() {
        lost = 0;
        late = 0;
    }

    /**
     * A process that ends resets all its connections, so where another still stands, this one broke for
     * itself: its runs end with no blame, unless that repeats. All of one end are here a moment later.
     */
    @Override
    public void lost(List<QueryAttempt> runs) {
        if (!runs.isEmpty()) {
            lost++;
            bootstrap
                    .config()
                    .group()
                    .next()
                    .schedule(
                            () -> {
                                boolean alive =
                                        lost < REPEATED && links.stream().anyMatch(EngineConnection::isUp);
                                runs.forEach(run -> run.end(
                                        !run.sentWhole
                                                ? AttemptEnd.CUT_SHORT
                                                : alive ? AttemptEnd.BROKEN : AttemptEnd.LOST));
                            },
                            EngineConnection.CLOSE_TAKES_MS,
                            TimeUnit.MILLISECONDS);
        }
    }

    /**
     * A refusal is the engine's. A connection reset when new tells only that nothing ran: there another is
     * opened, unless that repeats.
     */
    @Override
    public void unsent(List<QueryAttempt> runs, Throwable cause) {
        if (runs.isEmpty()) {
            return;
        }
        lost++;
        LOG.info("no connection to engine", address, cause);
        boolean its =
                cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException) || lost >= REPEATED;
        runs.forEach(run -> {
            if (its) {
                run.end(AttemptEnd.UNREACHED);
            } else {
                start(run);
            }
        });
    }

    /** Asks the engine how it is, on a connection that stands or a new one; without room nothing goes out. */
    void probe(String word, Consumer<Reply> heard) {
        EngineConnection best = links.stream()
                .filter(EngineConnection::takesProbe)
                .min(Comparator.comparingInt(EngineConnection::load))
                .orElse(null);
        if (best == null && links.size() < MOST_LINKS && room.getAsBoolean()) {
            best = connect();
        }
        if (best != null) {
            best.probe(word, heard);
        }
    }

    void stop(QueryAttempt run) {
        links.stream().filter(l -> l.holds(run)).findFirst().ifPresent(l -> l.stop(run));
    }

    void hurry(QueryAttempt run) {
        links.stream().filter(l -> l.holds(run)).findFirst().ifPresent(l -> l.hurry(run));
    }

    void closeIdle(long usedBeforeNanos) {
        links.stream().filter(l -> l.idleSince(usedBeforeNanos)).toList().forEach(EngineConnection::close);
    }

    /** Returns the connection without runs that was used longest ago, or null. */
    EngineConnection longestIdle() {
        return links.stream()
                .filter(l -> l.idleSince(System.nanoTime()))
                .min(Comparator.comparingLong(EngineConnection::usedAt))
                .orElse(null);
    }

    /**
     * Connections from before its engine's start lead to a process that is no more. What waits for one was
     * meant for that process, not for a cold one.
     */
    void startedAt(double unixMs) {
        links.stream().filter(l -> l.openedBefore(unixMs)).toList().forEach(link -> {
            link.recall();
            link.close();
        });
    }

    void beat() {
        List.copyOf(links).forEach(EngineConnection::beat);
    }

    /** Nothing that has not gone out yet does so any more: it ends as never run. */
    void recall() {
        List.copyOf(links).forEach(EngineConnection::recall);
    }

    int size() {
        return links.size();
    }

    void closeAll() {
        recall();
        List.copyOf(links).forEach(EngineConnection::close);
    }
}
