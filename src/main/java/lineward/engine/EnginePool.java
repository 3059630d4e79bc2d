package lineward.engine;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import peatwick.Front;

/** The connections to one engine. A new engine at an old address gets a pool of its own. */
final class EnginePool {
    private final Bootstrap bootstrap;
    private final InetSocketAddress address;
    private final int streams;
    private final int mostLinks;
    private final List<Link> links = new ArrayList<>();

    EnginePool(Bootstrap bootstrap, InetSocketAddress address, int streams, int mostLinks) {
        this.bootstrap = bootstrap;
        this.address = address;
        this.streams = streams;
        this.mostLinks = mostLinks;
    }

    InetSocketAddress address() {
        return address;
    }

    void start(Run run) {
        for (Link link : links) {
            if (link.takes(run.id, streams)) {
                link.start(run);
                return;
            }
        }
        if (links.size() >= mostLinks) {
            run.end(Front.Outcome.FULL);
            return;
        }
        connect().start(run);
    }

    private Link connect() {
        Link[] made = new Link[1];
        Link link = new Link(() -> links.remove(made[0]));
        made[0] = link;
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
                link.failedToConnect();
            }
        });
        return link;
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

    /** Connections from before its engine's start lead to a process that is no more. */
    void startedAt(double unixMs) {
        links.stream().filter(l -> l.openedBefore(unixMs)).toList().forEach(Link::close);
    }

    boolean isEmpty() {
        return links.isEmpty();
    }

    void closeAll() {
        List.copyOf(links).forEach(Link::close);
    }
}
