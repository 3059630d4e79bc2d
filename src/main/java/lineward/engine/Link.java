package lineward.engine;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import peatwick.Front;

/** One connection to an engine, with the runs that it carries. */
final class Link extends SimpleChannelInboundHandler<Reply> {
    private static final Logger LOG = LoggerFactory.getLogger(Link.class);
    /** Ids given up here are kept apart: past so many of them the link takes nothing new and retires. */
    private static final int MOST_SPENT = 4096;

    private final Map<String, Run> runs = new LinkedHashMap<>();
    /** Given up while an answer may be on its way: the same id may not go out here again. */
    private final Set<String> spent = new HashSet<>();
    private final long openedAtUnixMs = System.currentTimeMillis();
    private final Runnable onClosed;
    private Channel channel;
    private boolean up;
    private boolean closed;
    private long usedAt = System.nanoTime();

    /** @param onClosed is called once, when the link is of no more use */
    Link(Runnable onClosed) {
        super(false);
        this.onClosed = onClosed;
    }

    void connecting(Channel toBe) {
        channel = toBe;
    }

    boolean takes(String id, int most) {
        return !closed && runs.size() < most && spent.size() < MOST_SPENT && !runs.containsKey(id)
                && !spent.contains(id) && (!up || channel.isWritable());
    }

    boolean idleSince(long nanoTime) {
        return runs.isEmpty() && usedAt < nanoTime;
    }

    boolean openedBefore(double unixMs) {
        return openedAtUnixMs < unixMs;
    }

    boolean holds(Run run) {
        return runs.get(run.id) == run;
    }

    boolean isEmpty() {
        return runs.isEmpty();
    }

    void start(Run run) {
        runs.put(run.id, run);
        usedAt = System.nanoTime();
        if (up) {
            want(run);
        }
    }

    void stop(Run run) {
        runs.remove(run.id);
        usedAt = System.nanoTime();
        if (run.written) {
            spent.add(run.id);
            say((run.paging() ? "shut " : "never_mind ") + run.id + "\r\n");
        }
        run.drop();
    }

    void hurry(Run run) {
        if (run.written && !run.paging()) {
            say("hurry " + run.id + ' ' + run.priority + "\r\n");
        }
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    /** The connection is up: what waited for it goes out. */
    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        up = true;
        usedAt = System.nanoTime();
        runs.values().forEach(this::want);
    }

    private void want(Run run) {
        run.written = true;
        StringBuilder head = new StringBuilder("want ").append(run.id).append(" sort=").append(run.sort)
                .append(",patience=").append(run.patienceMs());
        if (run.grantMb > 0) {
            head.append(",pool=").append(run.grantMb);
        }
        head.append(",band=").append(run.priority).append(' ').append(run.statement.readableBytes())
                .append("\r\n");
        ByteBuf line = channel.alloc().buffer(head.length());
        line.writeCharSequence(head, StandardCharsets.US_ASCII);
        channel.write(line);
        channel.write(run.statement.retainedDuplicate());
        say("\r\n");
    }

    private void say(String text) {
        ByteBuf line = channel.alloc().buffer(text.length());
        line.writeCharSequence(text, StandardCharsets.US_ASCII);
        channel.writeAndFlush(line);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Reply reply) {
        usedAt = System.nanoTime();
        Run run = runs.get(reply.id());
        if (run == null) {
            reply.body().release();
            return;
        }
        switch (reply.word()) {
            case HIT -> {
                run.open(reply.number("total", 1), reply.body());
                for (int page = 1; page < run.total(); page++) {
                    say("turn " + run.id + ' ' + page + "\r\n");
                }
                finishIfWhole(run);
            }
            case PART -> {
                run.put(reply.number("index", -1), reply.body());
                finishIfWhole(run);
            }
            case SHED, LATE -> endWithout(run, reply, Front.Outcome.FULL);
            case FAULT -> endWithout(run, reply, Front.Outcome.ERROR);
            default -> reply.body().release();
        }
    }

    private void finishIfWhole(Run run) {
        if (run.whole()) {
            runs.remove(run.id);
            spent.remove(run.id);
            if (run.total() > 1) {
                say("shut " + run.id + "\r\n");
            }
            run.end(Front.Outcome.OK);
        }
    }

    private void endWithout(Run run, Reply reply, Front.Outcome outcome) {
        reply.body().release();
        runs.remove(run.id);
        run.end(outcome);
    }

    /** An engine that breaks the protocol can't be trusted with what else it says on this connection. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOG.warn("engine connection {}: {}", ctx.channel().remoteAddress(), cause.toString());
        if (cause instanceof MalformedReplyException || cause.getCause() instanceof MalformedReplyException) {
            endAll(Front.Outcome.ERROR);
        }
        ctx.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        ended(Front.Outcome.RESET);
    }

    /** A connection that never came up proves that nothing ran. */
    void failedToConnect() {
        ended(Front.Outcome.CONNECT_FAILED);
    }

    private void ended(Front.Outcome outcome) {
        if (!closed) {
            closed = true;
            onClosed.run();
            endAll(outcome);
        }
    }

    private void endAll(Front.Outcome outcome) {
        List<Run> all = new ArrayList<>(runs.values());
        runs.clear();
        all.forEach(run -> run.end(outcome));
    }
}
