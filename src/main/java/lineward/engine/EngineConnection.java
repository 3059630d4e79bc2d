package lineward.engine;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lineward.frontend.RateLimitedLog;
import org.slf4j.LoggerFactory;

/** One connection to an engine, with the runs that it carries. */
final class EngineConnection extends SimpleChannelInboundHandler<Reply> {
    /** Hears what becomes of a link. */
    interface Owner {
        /** The link is of no more use. */
        void closed(EngineConnection link);

        /** A run has been written whole. */
        void sent();

        /** The connection is up. */
        void up(EngineConnection link);

        /** An engine has spoken. */
        void heard();

        /** Runs that were sent have lost their connection: the owner ends them. */
        void lost(List<QueryAttempt> runs);

        /** Runs never sent, as no connection came up: the owner ends them or sends them elsewhere. */
        void unsent(List<QueryAttempt> runs, Throwable cause);
    }

    private record Probe(String word, String tag, Consumer<Reply> heard) {
        String line() {
            return word + ' ' + tag + "\r\n";
        }

        boolean isAnsweredBy(Reply reply) {
            return reply.id().equals(tag) && (reply.word() == Reply.Word.PONG || reply.word() == Reply.Word.SICK);
        }
    }

    private static final RateLimitedLog LOG = new RateLimitedLog(LoggerFactory.getLogger(EngineConnection.class));
    /** With runs out and no word for so long, the connection is asked whether it works. */
    private static final long QUIET = TimeUnit.MILLISECONDS.toNanos(400);
    /** An engine that spoke so lately is there. */
    private static final long LIVELY = TimeUnit.SECONDS.toNanos(1);
    /** Beats by which it has to say so: an engine may stand still for half a second. */
    private static final int MOST_BEATS = 7;
    /** Ids kept of what ended here; with more of them it takes nothing, until the oldest are past. */
    static final int MOST_SPENT = 1024;
    /** A close reaches its engine within this. */
    static final int CLOSE_TAKES_MS = 6;

    private final Map<String, QueryAttempt> runs = new LinkedHashMap<>();
    /** Ended while an answer may be on its way, a second one perhaps: the id may not go out here again. */
    private final Map<String, QueryAttempt> spent = new LinkedHashMap<>();

    private final long openedAtUnixMs = System.currentTimeMillis();
    private final Owner owner;
    private Channel channel;
    private ReplyDecoder decoder;
    private boolean up;
    /** It should have come up by now: it may yet, but nobody waits for it. */
    private boolean late;

    private boolean closed;
    private long usedAt = System.nanoTime();
    /** When the engine last spoke here. */
    private long heardAt = usedAt;
    /** Beats since it was asked whether it works; 0 where nothing is asked. */
    private int beats;
    /** Its last run was given up unheard: it gets nothing new until it has spoken. */
    private boolean doubted;
    /** The last probe here without an answer: a planner has one out at an engine at most. */
    private Probe probe;

    EngineConnection(Owner owner) {
        super(false);
        this.owner = owner;
    }

    boolean isUp() {
        return up && !closed;
    }

    /** Returns whether it is up and has shown so lately: one to a machine that vanished stays open. */
    boolean isLively() {
        return isUp() && System.nanoTime() - heardAt < LIVELY;
    }

    void connecting(Channel toBe) {
        channel = toBe;
    }

    boolean takes(String id, int most) {
        return !closed
                && !doubted
                && (up || !late)
                && !isAmidNothing()
                && runs.size() < most
                && !runs.containsKey(id)
                && spent.size() < MOST_SPENT
                && !spent.containsKey(id)
                && (!up || channel.isOpen() && channel.isWritable());
    }

    /** Half a line that belongs to no run: whatever comes behind it can't be read. */
    private boolean isAmidNothing() {
        return runs.isEmpty() && decoder != null && decoder.holdsPart();
    }

    int load() {
        return runs.size();
    }

    boolean idleSince(long nanoTime) {
        return runs.isEmpty() && usedAt < nanoTime;
    }

    long usedAt() {
        return usedAt;
    }

    boolean openedBefore(double unixMs) {
        return openedAtUnixMs < unixMs;
    }

    boolean holds(QueryAttempt run) {
        return runs.get(run.id) == run;
    }

    void start(QueryAttempt run) {
        runs.put(run.id, run);
        usedAt = System.nanoTime();
        if (up) {
            want(run);
        }
    }

    void stop(QueryAttempt run) {
        runs.remove(run.id);
        usedAt = System.nanoTime();
        if (run.written) {
            spent.put(run.id, run);
            say((run.paging() ? "shut " : "never_mind ") + run.id + "\r\n");
            doubted = true;
            ask();
        }
        run.drop();
    }

    /** Returns whether a probe may go out here. */
    boolean takesProbe() {
        return isUp() && channel.isWritable();
    }

    /** Asks the engine how it is, once the connection is up; one that breaks gives no answer. */
    void probe(String word, Consumer<Reply> heard) {
        probe = new Probe(word, "p" + System.nanoTime(), heard);
        usedAt = System.nanoTime();
        if (up) {
            say(probe.line());
        }
    }

    /** An answer may be lost with its connection, which stays open and silent: this word tells. */
    private void ask() {
        if (beats == 0) {
            beats = 1;
            say("there t" + System.nanoTime() + "\r\n");
        }
    }

    /** Comes ten times a second. Beats count, not time: after a stall of ours the answer may be here. */
    void beat() {
        long now = System.nanoTime();
        if (beats > 0) {
            beats++;
            if (beats > MOST_BEATS) {
                LOG.info("engine connection", channel.remoteAddress(), "silent");
                channel.close();
                end(owner::lost);
            }
        } else if (up && !closed && (isAmidNothing() || !runs.isEmpty() && now - usedAt > QUIET)) {
            ask();
        }
        spent.values().removeIf(run -> run.isPast(now));
    }

    void hurry(QueryAttempt run) {
        if (run.written && !run.paging()) {
            say("hurry " + run.id + ' ' + run.priority + "\r\n");
        }
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    /** Without runs it makes room for another connection at once: the channel's own word comes later. */
    void letGo() {
        close();
        end(none -> {});
    }

    /** Returns what waits for a connection that is not up yet; its caller now looks after that. */
    List<QueryAttempt> release() {
        List<QueryAttempt> waiting = up || closed ? List.of() : List.copyOf(runs.values());
        waiting.forEach(run -> runs.remove(run.id));
        return waiting;
    }

    /** Returns whether the connection is not up yet: from now on nothing waits for it. */
    boolean turnsLate() {
        late = !up && !closed;
        return late;
    }

    /** What waits for the connection to come up never goes out. */
    void recall() {
        if (!up) {
            end(all -> all.forEach(run -> run.end(AttemptEnd.UNSENT)));
            close();
        }
    }

    /** The connection is up: what waited for it goes out. */
    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        up = true;
        decoder = ctx.pipeline().get(ReplyDecoder.class);
        usedAt = System.nanoTime();
        heardAt = usedAt;
        List.copyOf(runs.values()).forEach(this::want);
        owner.up(this);
        if (probe != null) {
            say(probe.line());
        }
    }

    private void want(QueryAttempt run) {
        if (run.isTooLate(System.nanoTime())) {
            runs.remove(run.id);
            run.end(AttemptEnd.UNSENT);
            return;
        }
        run.written = true;
        StringBuilder head = new StringBuilder("want ")
                .append(run.id)
                .append(" sort=")
                .append(run.sort)
                .append(",patience=")
                .append(run.patienceMs());
        if (run.grantMb > 0) {
            head.append(",pool=").append(run.grantMb);
        }
        head.append(",band=")
                .append(run.priority)
                .append(' ')
                .append(run.statement.readableBytes())
                .append("\r\n");
        ByteBuf line = channel.alloc().buffer(head.length());
        line.writeCharSequence(head, StandardCharsets.US_ASCII);
        channel.write(line);
        channel.write(run.statement.retainedDuplicate());
        say("\r\n").addListener(done -> {
            if (done.isSuccess()) {
                run.sentWhole = true;
                owner.sent();
            }
        });
    }

    private ChannelFuture say(String text) {
        ByteBuf line = channel.alloc().buffer(text.length());
        line.writeCharSequence(text, StandardCharsets.US_ASCII);
        return channel.writeAndFlush(line);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Reply reply) {
        usedAt = System.nanoTime();
        heardAt = usedAt;
        beats = 0;
        doubted = false;
        owner.heard();
        if (probe != null && probe.isAnsweredBy(reply)) {
            Probe answered = probe;
            probe = null;
            answered.heard().accept(reply);
        }
        // What comes behind an unreadable reply, a second copy, or under an id that is none of ours.
        QueryAttempt run = closed ? null : runs.get(reply.id());
        if (run == null || run.has(reply)) {
            reply.body().release();
            return;
        }
        switch (reply.word()) {
            case HIT -> {
                run.open(reply.number("total", -1), reply.body());
                for (int page = 1; page < run.total(); page++) {
                    say("turn " + run.id + ' ' + page + "\r\n");
                }
                finishIfWhole(run);
            }
            case PART -> {
                run.put(reply.number("index", -1), reply.body());
                finishIfWhole(run);
            }
            case SHED -> endWithout(run, reply, AttemptEnd.SHED);
            case LATE -> endWithout(run, reply, AttemptEnd.LATE);
            case FAULT -> endWithout(run, reply, AttemptEnd.FAULT);
            case INFO -> {
                reply.body().release();
                run.note(reply);
            }
            default -> reply.body().release();
        }
    }

    private void finishIfWhole(QueryAttempt run) {
        if (run.whole()) {
            runs.remove(run.id);
            if (run.total() > 1) {
                say("shut " + run.id + "\r\n");
            }
            run.end(AttemptEnd.SERVED);
        }
    }

    private void endWithout(QueryAttempt run, Reply reply, AttemptEnd end) {
        reply.body().release();
        runs.remove(run.id);
        spent.put(run.id, run);
        run.end(end);
    }

    /** What follows a reply that can't be read can't be read either: all runs here are lost with it. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOG.info("engine connection", ctx.channel().remoteAddress(), cause);
        if (cause instanceof MalformedReplyException || cause.getCause() instanceof MalformedReplyException) {
            // A rerun must not overtake the close.
            end(all -> ctx.executor()
                    .schedule(
                            () -> all.forEach(run -> run.end(AttemptEnd.UNREADABLE)),
                            CLOSE_TAKES_MS,
                            TimeUnit.MILLISECONDS));
        }
        ctx.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        end(owner::lost);
    }

    /** A connection that never came up proves that nothing ran. */
    void failedToConnect(Throwable cause) {
        end(all -> owner.unsent(all, cause));
    }

    private void end(Consumer<List<QueryAttempt>> heir) {
        if (!closed) {
            closed = true;
            owner.closed(this);
            List<QueryAttempt> all = new ArrayList<>(runs.values());
            runs.clear();
            heir.accept(all);
        }
    }
}
