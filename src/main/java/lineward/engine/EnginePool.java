package lineward.engine;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import lineward.front.SparseLog;
import org.slf4j.LoggerFactory;

/** The connections to one engine. A new engine at an old address gets a pool of its own. */
final class EnginePool implements Link.Owner {
    /** Connections lost with no word between by which it is the engine that is at fault. */
    private static final int REPEATED = 4;
    /** Connections to one engine: more runs than that go to one engine only in a crowd. */
    private static final int MOST_LINKS = 16;
    private static final SparseLog LOG = new SparseLog(LoggerFactory.getLogger(EnginePool.class));
    private final Bootstrap bootstrap;
    private final InetSocketAddress address;
    private final int streams;
    private final BooleanSupplier room;
    private final Runnable sent;
    private final List<Link> links = new ArrayList<>();
    private int lost;

    /**
     * @param room tells whether one more connection may be opened
     * @param sent is called when a run has been written whole
     */
    EnginePool(Bootstrap bootstrap, InetSocketAddress address, int streams, BooleanSupplier room,
            Runnable sent) {
        this.sent = sent;
        this.bootstrap = bootstrap;
        this.address = address;
        this.streams = streams;
        this.room = room;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Each run gets a connection of its own while there are enough: with one that spoils, all there fail. */
    void start(Run run) {
        Link best = links.stream().filter(l -> l.takes(run.id, streams))
                .min(Comparator.comparingInt(Link::load)).orElse(null);
        if ((best == null || best.load() > 0) && links.size() < MOST_LINKS && room.getAsBoolean()) {
            best = connect();
        }
        if (best == null) {
            run.end(End.UNSENT);
        } else {
            best.start(run);
        }
    }

    private Link connect() {
        Link link = new Link(this);
        links.add(link);
        ChannelFuture opening = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new ReplyDecoder(), link);
            }
        }).connect(address);
        link.connecting(opening.channel());
        opening.addListener(done -> {
            if (!done.isSuccess()) {
                link.failedToConnect(done.cause());
            }
        });
        return link;
    }

    @Override
    public void closed(Link link) {
        links.remove(link);
    }

    @Override
    public void sent() {
        sent.run();
    }

    @Override
    public void heard() {
        lost = 0;
    }

    /**
     * A process that ends resets all its connections, so where another still stands, this one broke for
     * itself: its runs end with no blame, unless that repeats. All of one end are here a moment later.
     */
    @Override
    public void lost(List<Run> runs) {
        if (!runs.isEmpty()) {
            lost++;
            bootstrap.config().group().next().schedule(() -> {
                boolean alive = lost < REPEATED && links.stream().anyMatch(Link::isUp);
                runs.forEach(run -> run.end(!run.sentWhole ? End.CUT_SHORT : alive ? End.BROKEN : End.LOST));
            }, Link.CLOSE_TAKES_MS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * A refusal, or no word at all, is the engine's. A connection reset when new tells only that nothing ran:
     * there another is opened, unless that repeats.
     */
    @Override
    public void unsent(List<Run> runs, Throwable cause) {
        lost++;
        LOG.info("no connection to engine", address, cause);
        boolean its = cause instanceof ConnectException || lost >= REPEATED;
        runs.forEach(run -> {
            if (its) {
                run.end(End.UNREACHED);
            } else {
                start(run);
            }
        });
    }

    /** Asks the engine how it is, on a connection that stands or a new one; without room nothing goes out. */
    void probe(String word, Consumer<Reply> heard) {
        Link best = links.stream().filter(Link::takesProbe).min(Comparator.comparingInt(Link::load))
                .orElse(null);
        if (best == null && links.size() < MOST_LINKS && room.getAsBoolean()) {
            best = connect();
        }
        if (best != null) {
            best.probe(word, heard);
        }
    }

    void stop(Run run) {
        links.stream().filter(l -> l.holds(run)).findFirst().ifPresent(l -> l.stop(run));
    }

    void hurry(Run run) {
        links.stream().filter(l -> l.holds(run)).findFirst().ifPresent(l -> l.hurry(run));
    }

    void closeIdle(long usedBeforeNanos) {
        links.stream().filter(l -> l.idleSince(usedBeforeNanos)).toList().forEach(Link::close);
    }

    /** @return the connection without runs that was used longest ago, or null */
    Link longestIdle() {
        return links.stream().filter(l -> l.idleSince(System.nanoTime()))
                .min(Comparator.comparingLong(Link::usedAt)).orElse(null);
    }

    /** Connections from before its engine's start lead to a process that is no more. */
    void startedAt(double unixMs) {
        links.stream().filter(l -> l.openedBefore(unixMs)).toList().forEach(Link::close);
    }

    void beat() {
        List.copyOf(links).forEach(Link::beat);
    }

    void recall() {
        List.copyOf(links).forEach(Link::recall);
    }

    int size() {
        return links.size();
    }

    void closeAll() {
        List.copyOf(links).forEach(Link::close);
    }
}
