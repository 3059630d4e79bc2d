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
import lineward.core.ByteBudget;
import lineward.core.Command;
import lineward.core.Coordinator;
import lineward.core.Forwarder;
import lineward.core.GenerationalTable;
import lineward.core.TableGroups;
import lineward.engine.EngineCluster;
import lineward.engine.QueryAttempt;
import lineward.frontend.ClientRegistry;
import lineward.frontend.Listener;
import lineward.frontend.ProtocolServer;
import lineward.operations.Metrics;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.ProgressKind;

/** The platform's front: clients speak Thrift, engines the line protocol, one planner decides. */
public final class ThriftServer implements Forwarder<Call>, ProtocolServer {
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
    private final Listener doorway;
    private final Coordinator<Call> planner;
    private final EngineCluster fleet;
    private final DoubleSupplier clock;
    private final Runnable news;
    private final Metrics figures;
    private final Consumer<byte[]> peers;
    private final ByteBudget statements;
    private final ByteBudget answers;
    private final ClientRegistry<ClientHandler> clients;
    /** Ids that are open or were a moment ago. */
    private final Set<String> ids = new HashSet<>();

    private final Deque<Ended> ended = new ArrayDeque<>();
    private Channel listener;
    private Admission intake = Admission.OPEN;
    private boolean saidLastWord;
    private long lastWordAt;

    /**
     * @param news is called when the planner has something to decide on
     * @param figures count what ends here, before the planner has taken it
     * @param peers sends words to the other front ends
     */
    public ThriftServer(
            Names names,
            Bounds bounds,
            Listener doorway,
            Coordinator<Call> planner,
            EngineCluster fleet,
            DoubleSupplier clock,
            Runnable news,
            Metrics figures,
            Consumer<byte[]> peers) {
        this.names = names;
        this.doorway = doorway;
        this.statements = new ByteBudget(bounds.statements());
        this.answers = new ByteBudget(bounds.answers());
        this.planner = planner;
        this.fleet = fleet;
        this.clock = clock;
        this.news = news;
        this.figures = figures;
        this.peers = peers;
        figures.unread(answers::used);
        this.clients = new ClientRegistry<>(
                bounds.clients(), System::nanoTime, c -> c.channel().close(), ClientHandler::leave);
    }

    @Override
    public ChannelFuture listen(EventLoopGroup loop) {
        ChannelFuture open = doorway.bind(
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
    public void setAdmission(Admission next) {
        intake = next;
    }

    @Override
    public void setShutdownDeadline(int ms) {
        planner.setShutdownDeadline(clock.getAsDouble() + ms);
    }

    @Override
    public void failOpenRequests() {
        planner.failOpenRequests();
        saidLastWord = true;
        lastWordAt = System.nanoTime();
        news.run();
    }

    @Override
    public void closeIdleEngineConnections() {
        fleet.closeIdle();
    }

    @Override
    public void stopListening() {
        if (listener != null) {
            doorway.stopAccepting(listener);
        }
    }

    @Override
    public void closeIdleClients(double chance) {
        ClientRegistry.closeSome(
                clients.all().stream().filter(ClientHandler::isIdle).toList(), chance, clients::closeGracefully);
        if (saidLastWord && System.nanoTime() - lastWordAt > LAST_ANSWERS) {
            clients.all().forEach(c -> c.channel().close());
        }
    }

    @Override
    public void closeUnresponsive() {
        fleet.keepAlive();
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
    public void setMaintenance(String engine, boolean out, double at) {
        planner.setMaintenance(engine, out, at);
        if (out) {
            fleet.recallUnsent(engine);
        }
        news.run();
    }

    @Override
    public Coordinator<?> coordinator() {
        return planner;
    }

    @Override
    public boolean isDrained() {
        return planner.openRequests() == 0 && clients.size() == 0;
    }

    boolean wantsClients() {
        return intake == Admission.OPEN;
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
        clients.connected(client);
    }

    void waits(ClientHandler client) {
        clients.markWaiting(client);
    }

    void rests(ClientHandler client) {
        clients.markIdle(client);
    }

    void disconnected(ClientHandler client) {
        clients.disconnected(client);
    }

    /** A request of that class has failed: its fields can't be used. */
    void unusable(String op) {
        figures.ended(op, Metrics.Ending.FAULTED);
    }

    /** Returns false where there is no room for the request, which must then be refused. */
    boolean take(Call call) {
        boolean taken = hasRoom(call);
        if (!taken) {
            figures.ended(call.op(), Metrics.Ending.THROTTLED);
        }
        return taken;
    }

    private boolean hasRoom(Call call) {
        int size = call.statement.readableBytes();
        if (intake == Admission.REJECTING || !statements.reserve(size)) {
            return false;
        }
        call.request = planner.admit(clock.getAsDouble(), call.fields.demand(), call);
        if (call.request == GenerationalTable.FULL) {
            statements.release(size);
            return false;
        }
        call.statement.retain();
        ids.add(call.id());
        news.run();
        return true;
    }

    void abort(Call call) {
        planner.cancelRequest(call.request);
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
        planner.tick(clock.getAsDouble()).forEach(command -> command.executeBy(this));
    }

    @Override
    public void startAttempt(Command.StartAttempt<Call> c) {
        Call call = c.exchange();
        call.run = new QueryAttempt(
                call.id(),
                call.fields.op(),
                call.statement,
                new QueryAttempt.Timing(c.timeoutMs(), c.startWithinMs()),
                c.grantMb(),
                c.priority(),
                new QueryAttempt.Listener() {
                    @Override
                    public void ended(AttemptOutcome outcome, ByteBuf result) {
                        ThriftServer.this.ended(call, c.attempt(), outcome, result);
                    }

                    @Override
                    public void progressed(ProgressKind kind, double amount) {
                        planner.attemptProgressed(call.request, c.attempt(), kind, amount);
                        news.run();
                    }
                });
        call.runOf = c.attempt();
        fleet.start(c.engine(), call.run);
    }

    @Override
    public void cancelAttempt(Command.CancelAttempt<Call> c) {
        if (c.exchange().runOf == c.attempt()) {
            fleet.cancel(c.engine(), c.exchange().run);
        }
    }

    @Override
    public void changePriority(Command.ChangePriority<Call> c) {
        if (c.exchange().runOf == c.attempt()) {
            fleet.changePriority(c.engine(), c.exchange().run, c.priority());
        }
    }

    @Override
    public void checkHealth(Command.CheckHealth<Call> c) {
        fleet.checkHealth(c.engine(), (outcome, report) -> {
            planner.healthCheckCompleted(clock.getAsDouble(), c.engine(), outcome, report);
            news.run();
        });
    }

    @Override
    public void broadcastGossip(Command.BroadcastGossip<Call> c) {
        peers.accept(c.payload());
    }

    @Override
    public void reject(Command.Reject<Call> c) {
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

    private void ended(Call call, int attempt, AttemptOutcome outcome, ByteBuf result) {
        if (planner.attemptEnded(call.request, attempt, outcome)) {
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
