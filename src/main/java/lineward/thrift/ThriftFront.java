package lineward.thrift;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import lineward.core.Budget;
import lineward.core.Command;
import lineward.core.Forwarder;
import lineward.core.Planner;
import lineward.core.SlotTable;
import lineward.core.TableGroups;
import lineward.engine.EngineFleet;
import lineward.engine.Run;
import lineward.front.ClientTable;
import lineward.front.Doorway;
import lineward.front.FrontDoor;
import lineward.operations.Figures;
import peatwick.Front;

/** The platform's front: clients speak Thrift, engines the line protocol, one planner decides. */
public final class ThriftFront implements Forwarder<Call>, FrontDoor {
    /** Bytes read from one connection in a turn of the loop: who sends at full speed waits for the others. */
    private static final int LEAST_READ = 512;

    private static final int FIRST_READ = 2 * 1024;
    private static final int MOST_READ = 16 * 1024;
    /** Who has connected, or begun a frame, and then says nothing for so long is let go. */
    private static final long SILENCE = TimeUnit.MILLISECONDS.toNanos(1500);
    /** An id is new with every request; one that comes again so soon after its end is none of ours. */
    private static final long ID_RESTS = TimeUnit.SECONDS.toNanos(5);
    /** Behind the last word an answer gets so long to go out; then the process is about to be killed. */
    private static final long LAST_ANSWERS = TimeUnit.MILLISECONDS.toNanos(150);
    /** Advice to a client that found this front end full. */
    private static final long BUSY_PUSHBACK_MS = 500;

    /**
     * @param classes names of the classes, in the order of the settings
     * @param tenants names of the tenants, in the order of the settings
     * @param deadlines of the classes in milliseconds, in the order of the settings
     */
    public record Names(List<String> classes, List<String> tenants, List<Double> deadlines) {}

    /**
     * @param clients connections of clients held at once
     * @param statements bytes of statements held at once; requests beyond are refused
     * @param answers bytes of answers that clients have not read yet; past it the slowest client is let go
     */
    public record Bounds(int clients, long statements, long answers) {}

    private record Ended(String id, long atNanos) {}

    private final Names names;
    private final Doorway doorway;
    private final Planner<Call> planner;
    private final EngineFleet fleet;
    private final DoubleSupplier clock;
    private final Runnable news;
    private final Figures figures;
    private final Consumer<byte[]> peers;
    private final Budget statements;
    private final Budget answers;
    private final ClientTable<ClientHandler> clients;
    /** Ids that are open or were a moment ago. */
    private final Set<String> ids = new HashSet<>();

    private final Deque<Ended> ended = new ArrayDeque<>();
    private Channel listener;
    private Intake intake = Intake.OPEN;
    private boolean saidLastWord;
    private long lastWordAt;

    /**
     * @param news is called when the planner has something to decide on
     * @param figures count what ends here, before the planner has taken it
     * @param peers sends words to the other front ends
     */
    public ThriftFront(
            Names names,
            Bounds bounds,
            Doorway doorway,
            Planner<Call> planner,
            EngineFleet fleet,
            DoubleSupplier clock,
            Runnable news,
            Figures figures,
            Consumer<byte[]> peers) {
        this.names = names;
        this.doorway = doorway;
        this.statements = new Budget(bounds.statements());
        this.answers = new Budget(bounds.answers());
        this.planner = planner;
        this.fleet = fleet;
        this.clock = clock;
        this.news = news;
        this.figures = figures;
        this.peers = peers;
        figures.unread(answers::held);
        this.clients = new ClientTable<>(
                bounds.clients(), System::nanoTime, c -> c.channel().close(), ClientHandler::leave);
    }

    @Override
    public ChannelFuture listen(EventLoopGroup loop) {
        ChannelFuture open = doorway.open(
                new ServerBootstrap()
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new AdaptiveRecvByteBufAllocator(LEAST_READ, FIRST_READ, MOST_READ)
                                        .maxMessagesPerRead(1))
                        .childHandler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline().addLast(handlers());
                            }
                        }),
                loop);
        listener = open.channel();
        return open;
    }

    /** What reads one client's connection. */
    ChannelHandler[] handlers() {
        FrameDecoder decoder = new FrameDecoder();
        return new ChannelHandler[] {decoder, new ClientHandler(this, decoder)};
    }

    @Override
    public void admit(Intake next) {
        intake = next;
    }

    @Override
    public void endIn(int ms) {
        planner.endAt(clock.getAsDouble() + ms);
    }

    @Override
    public void lastWord() {
        planner.failAll();
        saidLastWord = true;
        lastWordAt = System.nanoTime();
        news.run();
    }

    @Override
    public void closeIdleEngines() {
        fleet.closeIdle();
    }

    @Override
    public void stopListening() {
        if (listener != null) {
            doorway.shut(listener);
        }
    }

    @Override
    public void closeResting(double chance) {
        ClientTable.closeSome(
                clients.all().stream().filter(ClientHandler::isIdle).toList(), chance, clients::leave);
        if (saidLastWord && System.nanoTime() - lastWordAt > LAST_ANSWERS) {
            clients.all().forEach(c -> c.channel().close());
        }
    }

    @Override
    public void closeSilent() {
        fleet.beat();
        clients.closeSilent(SILENCE);
        clients.all().stream()
                .filter(c -> c.isStuck(SILENCE))
                .forEach(c -> c.channel().close());
        long before = System.nanoTime() - ID_RESTS;
        while (!ended.isEmpty() && ended.peek().atNanos() <= before) {
            ids.remove(ended.poll().id());
        }
    }

    @Override
    public void holdOut(String engine, boolean out, double at) {
        planner.holdOut(engine, out, at);
        if (out) {
            fleet.recall(engine);
        }
        news.run();
    }

    @Override
    public Planner<?> planner() {
        return planner;
    }

    @Override
    public boolean isQuiet() {
        return planner.open() == 0 && clients.size() == 0;
    }

    boolean wantsClients() {
        return intake == Intake.OPEN;
    }

    long busyPushbackMs() {
        return BUSY_PUSHBACK_MS;
    }

    CallFields read(Map<String, String> fields, String statement) {
        CallFields read = CallFields.of(fields, names, TableGroups.of(statement));
        if (ids.contains(read.id())) {
            throw new IllegalArgumentException("field call is in use already");
        }
        return read;
    }

    void connected(ClientHandler client) {
        clients.arrived(client);
    }

    void waits(ClientHandler client) {
        clients.waits(client);
    }

    void rests(ClientHandler client) {
        clients.rests(client);
    }

    void disconnected(ClientHandler client) {
        clients.left(client);
    }

    /** A request of that class has failed: its fields can't be used. */
    void unusable(String op) {
        figures.ended(op, Figures.End.FAULTED);
    }

    /** @return false where there is no room for the request, which must then be refused */
    boolean take(Call call) {
        boolean taken = hasRoom(call);
        if (!taken) {
            figures.ended(call.op(), Figures.End.THROTTLED);
        }
        return taken;
    }

    private boolean hasRoom(Call call) {
        int size = call.statement.readableBytes();
        if (intake == Intake.REFUSING || !statements.reserve(size)) {
            return false;
        }
        call.request = planner.take(clock.getAsDouble(), call.fields.demand(), call);
        if (call.request == SlotTable.FULL) {
            statements.release(size);
            return false;
        }
        call.statement.retain();
        ids.add(call.id());
        news.run();
        return true;
    }

    void abort(Call call) {
        planner.abort(call.request);
        release(call);
        news.run();
    }

    /** Writes to a client; when unread answers fill their bound, the client with most of them is let go. */
    void write(ClientHandler client, ByteBuf frame) {
        int size = frame.readableBytes();
        Channel channel = client.channel();
        if (!answers.reserve(size)) {
            clients.all().stream()
                    .max(Comparator.comparingLong(ClientHandler::unread))
                    .ifPresent(c -> c.channel().close());
            if (!channel.isActive() || !answers.reserve(size)) {
                frame.release();
                channel.close();
                return;
            }
        }
        client.sending(size);
        channel.writeAndFlush(frame).addListener(done -> {
            answers.release(size);
            client.sent(size);
        });
    }

    @Override
    public void tick() {
        planner.tick(clock.getAsDouble()).forEach(this::perform);
    }

    @Override
    public void start(Command.Start<Call> c) {
        Call call = c.exchange();
        call.run = new Run(
                call.id(),
                call.fields.op(),
                call.statement,
                new Run.Times(c.patienceMs(), c.beginWithinMs()),
                c.grantMb(),
                c.priority(),
                new Run.Listener() {
                    @Override
                    public void ended(Front.Outcome outcome, ByteBuf result) {
                        ThriftFront.this.ended(call, c.attempt(), outcome, result);
                    }

                    @Override
                    public void noted(Front.NoteKind kind, double amount) {
                        planner.noted(call.request, c.attempt(), kind, amount);
                        news.run();
                    }
                });
        call.runOf = c.attempt();
        fleet.start(c.engine(), call.run);
    }

    @Override
    public void stop(Command.Stop<Call> c) {
        if (c.exchange().runOf == c.attempt()) {
            fleet.stop(c.engine(), c.exchange().run);
        }
    }

    @Override
    public void reprioritise(Command.Reprioritise<Call> c) {
        if (c.exchange().runOf == c.attempt()) {
            fleet.hurry(c.engine(), c.exchange().run, c.priority());
        }
    }

    @Override
    public void probe(Command.Probe<Call> c) {
        fleet.probe(c.engine(), (outcome, report) -> {
            planner.probed(clock.getAsDouble(), c.engine(), outcome, report);
            news.run();
        });
    }

    @Override
    public void announce(Command.Announce<Call> c) {
        peers.accept(c.octets());
    }

    @Override
    public void refuse(Command.Refuse<Call> c) {
        Call call = c.exchange();
        call.client.answer(call, ThriftWriter.overloaded(call.client.channel().alloc(), call.seqid, c.retryAfterMs()));
        release(call);
    }

    @Override
    public void fail(Command.Fail<Call> c) {
        Call call = c.exchange();
        call.client.answer(call, ThriftWriter.internal(call.client.channel().alloc(), call.seqid));
        release(call);
    }

    private void ended(Call call, int attempt, Front.Outcome outcome, ByteBuf result) {
        if (planner.ended(call.request, attempt, outcome)) {
            call.client.answer(call, ThriftWriter.served(call.client.channel().alloc(), "invoke", call.seqid, result));
            release(call);
        } else if (result != null) {
            result.release();
        }
        news.run();
    }

    /**
     * The request is over. Danger: a client may hang up between the word that its request has failed and the
     * answer; what is let go twice is taken from somebody else.
     */
    private void release(Call call) {
        if (call.over) {
            return;
        }
        call.over = true;
        statements.release(call.statement.readableBytes());
        call.statement.release();
        ended.add(new Ended(call.id(), System.nanoTime()));
    }
}
