package lineward.mysql;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lineward.scheduling.AttemptOutcome;
import lineward.spool.SpooledResult;

/** The connections to one MySQL engine. */
final class EngineLinks {
    private final Bootstrap bootstrap;
    private final MysqlConfig.Engine engine;
    private final MysqlConfig.Bounds bounds;
    private final List<EngineLink> links = new ArrayList<>();
    private final Deque<EngineLink> idle = new ArrayDeque<>();
    private boolean closing;

    EngineLinks(Bootstrap bootstrap, MysqlConfig.Engine engine, MysqlConfig.Bounds bounds) {
        this.bootstrap = bootstrap;
        this.engine = engine;
        this.bounds = bounds;
    }

    String name() {
        return engine.name();
    }

    String user() {
        return engine.user();
    }

    String password() {
        return engine.password();
    }

    MysqlConfig.Engine engine() {
        return engine;
    }

    void start(MysqlRun run) {
        EngineLink free = idle.stream()
                .filter(l -> l.suits(run) && l.isSetFor(run))
                .findFirst()
                .or(() -> idle.stream().filter(l -> l.suits(run)).findFirst())
                .orElse(null);
        if (free != null) {
            idle.remove(free);
            free.start(run);
            return;
        }
        if (links.size() >= bounds.linksPerEngine() && !idle.isEmpty()) {
            EngineLink unfit = idle.pollLast();
            links.remove(unfit);
            unfit.close();
        }
        if (links.size() >= bounds.linksPerEngine()) {
            run.end(AttemptOutcome.REJECTED);
        } else {
            connect().start(run);
        }
    }

    /** Kills what runs on another connection, through one of its own. */
    void kill(long thread) {
        MysqlRun kill = new MysqlRun(new Work.Query("", "KILL QUERY " + thread), Map.of(), 0, new MysqlRun.Listener() {
            @Override
            public SpooledResult spool() {
                return null;
            }

            @Override
            public boolean opened() {
                return false;
            }

            @Override
            public void ended(AttemptOutcome outcome, ByteBuf reply) {
                if (reply != null) {
                    reply.release();
                }
            }
        });
        EngineLink free = idle.pollFirst();
        (free != null ? free : connect()).start(kill);
    }

    private EngineLink connect() {
        EngineLink link = new EngineLink(this);
        links.add(link);
        ChannelFuture opening = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new PacketDecoder(Packets.LONGEST), link);
                    }
                })
                .connect(engine.address());
        link.connecting(opening.channel());
        // An engine that accepts but never greets holds nobody longer than one that does not accept.
        ScheduledFuture<?> overdue = opening.channel()
                .eventLoop()
                .schedule(
                        () -> {
                            if (!link.isReady()) {
                                link.close();
                            }
                        },
                        bounds.connectTimeoutMs(),
                        TimeUnit.MILLISECONDS);
        opening.addListener(done -> {
            if (!done.isSuccess()) {
                overdue.cancel(false);
                link.gone();
            }
        });
        return link;
    }

    /** Ends what waits for a login as never run, and closes the connections that are free. */
    void recall() {
        List.copyOf(links).forEach(EngineLink::recall);
        closeIdle(System.nanoTime() + 1);
    }

    void free(EngineLink link) {
        if (closing) {
            link.close();
        } else {
            idle.addFirst(link);
        }
    }

    void closed(EngineLink link) {
        links.remove(link);
        idle.remove(link);
    }

    /** Nothing new comes here any more: connections close as they fall free. */
    void drain() {
        closing = true;
        closeIdle(System.nanoTime() + 1);
    }

    void reopen() {
        closing = false;
    }

    /** Returns whether it takes nothing new and has no connection left. */
    boolean isDrained() {
        return closing && links.isEmpty();
    }

    void closeIdle(long usedBeforeNanos) {
        for (EngineLink link : List.copyOf(idle)) {
            if (link.idleSince(usedBeforeNanos)) {
                idle.remove(link);
                link.close();
            }
        }
    }
}
