package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import lineward.scheduling.AttemptOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One connection to a MySQL engine. It carries one run at a time, and keeps what was prepared on it. */
final class EngineLink extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOG = LoggerFactory.getLogger(EngineLink.class);
    /** Statements kept prepared on one connection; the one unused longest makes room. */
    private static final int MOST_PREPARED = 64;
    /** What a killed statement gets to say its last word, before its connection is closed. */
    private static final int KILL_TAKES_MS = 300;

    private static final int FAST_AUTH_DONE = 3;
    private static final int MORE_DATA = 1;
    private static final int ASK_KEY = 2;
    /** Errors by which an engine says that it takes nothing more: what was asked never ran. */
    private static final Set<Integer> FULL = Set.of(1040, 1203, 1226);
    /** Errors by which an engine says that it is going down: no answer to what was asked. */
    private static final Set<Integer> GOING_DOWN = Set.of(1053, 1077, 1079, 1927);

    private enum State {
        CONNECTING,
        LOGIN,
        IDLE,
        SETTINGS,
        SCHEMA,
        PREPARING,
        MAIN,
        KILLED
    }

    private record Prepared(long id, int params) {}

    private final EngineLinks pool;
    private final Map<String, Prepared> prepared = new LinkedHashMap<>(16, 0.75f, true);
    private State state = State.CONNECTING;
    private Channel channel;
    private MysqlRun run;
    private ReplyTracker tracker;
    private long thread;
    private byte[] nonce;
    private String schema = "";
    /** Settings of the session that are not the engine's own, as they stand at this connection. */
    private Map<String, String> settings = Map.of();

    private long usedAt = System.nanoTime();
    private Prepared fresh;
    private boolean closed;

    EngineLink(EngineLinks pool) {
        super(false);
        this.pool = pool;
    }

    void connecting(Channel toBe) {
        channel = toBe;
    }

    /** A schema once chosen can be changed but not given up. */
    boolean suits(MysqlRun next) {
        return schema.isEmpty() || !next.work.schema().isEmpty();
    }

    /** Returns whether the run finds its settings in place here. */
    boolean isSetFor(MysqlRun next) {
        return settings.equals(next.settings);
    }

    boolean isReady() {
        return state != State.CONNECTING && state != State.LOGIN;
    }

    boolean idleSince(long nanoTime) {
        return state == State.IDLE && usedAt < nanoTime;
    }

    void close() {
        channel.close();
    }

    /** What has not gone out yet never does. */
    void recall() {
        if (run != null && state != State.MAIN && state != State.KILLED) {
            fail(AttemptOutcome.REJECTED);
        }
    }

    /** Reads on, or waits until the client has read what it was sent. */
    void flow(boolean on) {
        channel.config().setAutoRead(on);
    }

    void start(MysqlRun next) {
        run = next;
        next.link = this;
        if (state == State.IDLE) {
            step();
        }
    }

    /**
     * Takes the next step of the run: settings and schema first, then the statement, then the work itself.
     */
    private void step() {
        usedAt = System.nanoTime();
        Work work = run.work;
        if (!settings.equals(run.settings)) {
            state = State.SETTINGS;
            send(Commands.QUERY, Texts.latin1(SessionSettings.change(settings, run.settings)));
        } else if (!work.schema().isEmpty() && !work.schema().equals(schema) && !(work instanceof Work.UseSchema)) {
            state = State.SCHEMA;
            send(Commands.INIT_DB, work.schema());
        } else if (work instanceof Work.Execute w && !prepared.containsKey(key(w.schema(), w.text()))) {
            state = State.PREPARING;
            send(Commands.PREPARE, w.text());
        } else {
            state = State.MAIN;
            MysqlRun begun = run;
            main(work);
            // Behind all that went out: this is done when that has been written.
            write(Unpooled.EMPTY_BUFFER).addListener(done -> {
                if (done.isSuccess()) {
                    begun.written();
                }
            });
        }
    }

    private void main(Work work) {
        if (work instanceof Work.Query w) {
            send(Commands.QUERY, w.text());
        } else if (work instanceof Work.Prepare w) {
            send(Commands.PREPARE, w.text());
        } else if (work instanceof Work.UseSchema w) {
            send(Commands.INIT_DB, w.schema());
        } else if (work instanceof Work.Execute w) {
            execute(w);
        }
    }

    private void execute(Work.Execute w) {
        Prepared statement = prepared.get(key(w.schema(), w.text()));
        if (statement.params() != w.params()) {
            ByteBuf error = Packets.error(
                    channel.alloc(),
                    1,
                    Failure.wrongArguments("the statement's parameters have changed since it was prepared"));
            run.take(channel.alloc(), error, ReplyTracker.Place.LAST_ERROR);
            finish(AttemptOutcome.OK);
            return;
        }
        for (Work.LongData data : w.longData()) {
            ByteBuf rest = channel.alloc()
                    .buffer()
                    .writeIntLE((int) statement.id())
                    .writeShortLE(data.param())
                    .writeBytes(data.bytes());
            write(Packets.command(channel.alloc(), Commands.LONG_DATA, rest));
            rest.release();
        }
        ByteBuf rest = channel.alloc().buffer().writeIntLE((int) statement.id()).writeBytes(w.arguments());
        tracker = new ReplyTracker(false);
        write(Packets.command(channel.alloc(), Commands.EXECUTE, rest));
        rest.release();
    }

    /** Danger: an engine reads a text by the settings that hold as it is prepared; others mean another. */
    private String key(String schema, String text) {
        return settings + schema + '\0' + text;
    }

    private void send(int command, String latin1) {
        tracker = new ReplyTracker(command == Commands.PREPARE);
        ByteBuf rest = Unpooled.wrappedBuffer(latin1.getBytes(StandardCharsets.ISO_8859_1));
        write(Packets.command(channel.alloc(), command, rest));
    }

    private Future<Void> write(ByteBuf frame) {
        return channel.writeAndFlush(frame);
    }

    /** Gives the run up. What is running is killed; what has not begun is left with its connection. */
    void stop() {
        if (state == State.MAIN) {
            state = State.KILLED;
            flow(true);
            pool.kill(thread);
            channel.eventLoop().schedule(this::close, KILL_TAKES_MS, TimeUnit.MILLISECONDS);
        } else if (state != State.KILLED) {
            MysqlRun given = run;
            run = null;
            close();
            if (given != null) {
                given.end(AttemptOutcome.CANCELLED);
            }
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        state = State.LOGIN;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        boolean kept = false;
        try {
            if (state == State.LOGIN) {
                login(frame);
            } else if (run != null) {
                kept = reply(frame);
            } else if (Packets.first(frame) != Packets.ERR) {
                throw new DecoderException("packet that nobody asked for");
            }
        } finally {
            if (!kept) {
                frame.release();
            }
        }
    }

    private void login(ByteBuf frame) {
        int sequence = Packets.sequence(frame) + 1;
        ByteBuf in = Packets.payload(frame);
        int first = Packets.first(frame);
        if (first == Packets.ERR) {
            int code = Packets.errorCode(frame);
            LOG.warn("engine {} turns the front away with error {}", pool.name(), code);
            fail(FULL.contains(code) ? AttemptOutcome.REJECTED : AttemptOutcome.CONNECT_FAILED);
        } else if (nonce == null) {
            greet(Handshake.readGreeting(in), sequence);
        } else if (first == Packets.EOF) {
            in.skipBytes(1);
            String plugin = Packets.zeroEnded(in);
            in.readBytes(nonce, 0, Math.min(nonce.length, in.readableBytes()));
            requireKnown(plugin);
            write(Handshake.bytes(channel.alloc(), sequence, Auth.proof(plugin, pool.password(), nonce)));
        } else if (first == MORE_DATA) {
            moreData(in.skipBytes(1), sequence);
        } else if (first == Packets.OK) {
            state = State.IDLE;
            if (run != null) {
                step();
            } else {
                pool.free(this);
            }
        } else {
            throw new DecoderException("unknown packet in a login");
        }
    }

    private void greet(Handshake.Greeting greeting, int sequence) {
        thread = greeting.thread();
        nonce = greeting.nonce();
        String plugin = Auth.known(greeting.plugin()) ? greeting.plugin() : Auth.SHA2;
        write(Handshake.login(
                channel.alloc(),
                sequence,
                new Handshake.Login(
                        Handshake.CAPABILITIES & ~Handshake.WITH_DB,
                        pool.user(),
                        Auth.proof(plugin, pool.password(), nonce),
                        "",
                        plugin)));
    }

    private static void requireKnown(String plugin) {
        if (!Auth.known(plugin)) {
            throw new DecoderException("engine asks for the plugin " + plugin);
        }
    }

    /** An engine that does not know the password's digest yet sends its key and sees the password itself. */
    private void moreData(ByteBuf in, int sequence) {
        if (in.readableBytes() == 1) {
            if (in.getByte(in.readerIndex()) != FAST_AUTH_DONE) {
                write(Handshake.bytes(channel.alloc(), sequence, new byte[] {ASK_KEY}));
            }
            return;
        }
        try {
            write(Handshake.bytes(
                    channel.alloc(),
                    sequence,
                    Auth.sealed(pool.password(), nonce, in.toString(StandardCharsets.US_ASCII))));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw new DecoderException("engine's key can't be used", e);
        }
    }

    /** Returns whether the frame was handed on. */
    private boolean reply(ByteBuf frame) {
        ReplyTracker.Place place = tracker.take(frame);
        if (place == ReplyTracker.Place.LAST_ERROR && noAnswer(Packets.errorCode(frame))) {
            return false;
        }
        if (state == State.SETTINGS) {
            return set(frame, place);
        }
        boolean preparing = state == State.PREPARING || run.work instanceof Work.Prepare && state != State.SCHEMA;
        if (preparing && place != ReplyTracker.Place.LAST_ERROR) {
            remember(frame, place);
        }
        if ((state == State.SCHEMA || state == State.PREPARING) && place != ReplyTracker.Place.LAST_ERROR) {
            if (place == ReplyTracker.Place.LAST_OK) {
                schema = run.work.schema().isEmpty() ? schema : run.work.schema();
                step();
            }
            return false;
        }
        run.take(channel.alloc(), frame, place);
        if (place.isLast()) {
            if (run.work instanceof Work.UseSchema && place == ReplyTracker.Place.LAST_OK) {
                schema = run.work.schema();
            }
            finish(
                    state == State.KILLED && place == ReplyTracker.Place.LAST_ERROR
                            ? AttemptOutcome.CANCELLED
                            : AttemptOutcome.OK);
        }
        return true;
    }

    /** An engine that does not know a setting answers the statement with that: it was never run. */
    private boolean set(ByteBuf frame, ReplyTracker.Place place) {
        if (place == ReplyTracker.Place.LAST_ERROR) {
            run.take(channel.alloc(), frame, place);
            // What the engine did set of them is not known.
            state = State.KILLED;
            finish(AttemptOutcome.OK);
            return true;
        }
        settings = run.settings;
        step();
        return false;
    }

    /** Notes the id under which the statement stands here, once its reply is whole. */
    private void remember(ByteBuf frame, ReplyTracker.Place place) {
        if (fresh == null) {
            ByteBuf in = Packets.payload(frame).skipBytes(1);
            long id = in.readUnsignedIntLE();
            fresh = new Prepared(id, in.skipBytes(2).readUnsignedShortLE());
        }
        if (place == ReplyTracker.Place.LAST_OK) {
            String text = run.work instanceof Work.Execute w ? w.text() : ((Work.Prepare) run.work).text();
            forget(prepared.put(key(run.work.schema(), text), fresh));
            fresh = null;
            if (prepared.size() > MOST_PREPARED) {
                String oldest = prepared.keySet().iterator().next();
                forget(prepared.remove(oldest));
            }
        }
    }

    private void forget(Prepared old) {
        if (old != null) {
            ByteBuf rest = channel.alloc().buffer().writeIntLE((int) old.id());
            write(Packets.command(channel.alloc(), Commands.CLOSE, rest));
            rest.release();
        }
    }

    private boolean noAnswer(int code) {
        if (FULL.contains(code)) {
            fail(AttemptOutcome.REJECTED);
        } else if (GOING_DOWN.contains(code)) {
            fail(state == State.MAIN || state == State.KILLED ? AttemptOutcome.ERROR : AttemptOutcome.CONNECT_FAILED);
        } else {
            return false;
        }
        return true;
    }

    private void finish(AttemptOutcome outcome) {
        MysqlRun done = run;
        run = null;
        usedAt = System.nanoTime();
        // A kill may still be on its way, and would hit whatever ran here next; a transaction is not ours,
        // and what a statement left in the session is not for the next client.
        boolean reusable = state != State.KILLED && !tracker.inTransaction() && !done.work.leavesTraces();
        state = reusable ? State.IDLE : State.KILLED;
        flow(true);
        if (reusable) {
            pool.free(this);
        } else {
            close();
        }
        done.end(outcome);
    }

    private void fail(AttemptOutcome outcome) {
        MysqlRun failed = run;
        run = null;
        close();
        if (failed != null) {
            failed.end(outcome);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOG.warn("engine {}: {}", pool.name(), cause.toString());
        fail(state == State.MAIN || state == State.KILLED ? AttemptOutcome.ERROR : AttemptOutcome.CONNECT_FAILED);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        gone();
    }

    /**
     * The connection is no more. Only a statement whose text or execution had gone out may have run: an
     * engine that vanished between prepare and execute has done nothing.
     */
    void gone() {
        if (closed) {
            return;
        }
        closed = true;
        pool.closed(this);
        fail(
                switch (state) {
                    case MAIN -> AttemptOutcome.RESET;
                    case KILLED -> AttemptOutcome.CANCELLED;
                    default -> AttemptOutcome.CONNECT_FAILED;
                });
    }
}
