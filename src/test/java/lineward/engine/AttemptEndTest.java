package lineward.engine;

import static org.testng.Assert.assertEquals;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lineward.core.ByteBudget;
import lineward.scheduling.AttemptOutcome;
import lineward.testing.Program;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the outcome of each end of an attempt, and whether the request may have run. */
public class AttemptEndTest {
    private static final EngineCluster.Limits LIMITS =
            new EngineCluster.Limits(250, 30_000, 10, 100, ByteBudget.unlimited(), false);
    /** The only ends after which a request that is not idempotent may be retried. */
    private static final Set<AttemptEnd> NEVER_RAN = EnumSet.of(
            AttemptEnd.REJECTED,
            AttemptEnd.EXPIRED,
            AttemptEnd.ENGINE_UNREACHABLE,
            AttemptEnd.NOT_SENT,
            AttemptEnd.PARTIALLY_SENT);

    @Test
    public void eachEndTellsWhetherTheRequestMayHaveRun() {
        for (AttemptEnd end : AttemptEnd.values()) {
            assertEquals(end.outcome().mayHaveRun(), !NEVER_RAN.contains(end), end.name());
        }
    }

    @DataProvider
    public Object[][] replies() {
        return new Object[][] {
            {"00aa HIT total=1 6\r\na\tb\tc\n\r\n", AttemptOutcome.OK},
            {"00aa SHED - 0\r\n\r\n", AttemptOutcome.REJECTED},
            {"00aa LATE - 0\r\n\r\n", AttemptOutcome.REJECTED},
            {"00aa FAULT - 0\r\n\r\n", AttemptOutcome.ERROR},
            {"00aa HIT - 0\r\n\r\n", AttemptOutcome.ERROR},
            {"00aa HIT total=2 6\r\na\tb\tc\n\r\n00aa FAULT - 0\r\n\r\n", AttemptOutcome.ERROR},
            {"00aa HIT total=1 3\r\na\tb\r\n", AttemptOutcome.ERROR},
            {"what is this\r\n", AttemptOutcome.ERROR}
        };
    }

    @Test(dataProvider = "replies")
    public void replyEndsTheAttemptWithItsOutcome(String reply, AttemptOutcome outcome) {
        RecordingListener listener = new RecordingListener();
        EngineConnection connection = EngineWarmup.newConnection();
        EmbeddedChannel channel = openChannel(connection);
        connection.start(listener.attempt);
        channel.writeInbound(Unpooled.copiedBuffer(reply, StandardCharsets.US_ASCII));
        channel.advanceTimeBy(1, TimeUnit.SECONDS);
        channel.runScheduledPendingTasks();
        assertEquals(listener.outcomes, List.of(outcome));
        channel.finishAndReleaseAll();
    }

    private static EmbeddedChannel openChannel(EngineConnection connection) {
        EmbeddedChannel channel = new EmbeddedChannel(new ReplyDecoder());
        connection.setChannel(channel);
        channel.pipeline().addLast(connection);
        connection.channelActive(channel.pipeline().context(connection));
        return channel;
    }

    @DataProvider
    public Object[][] writeCounts() {
        return new Object[][] {{0, false}, {1, false}, {2, false}, {3, true}};
    }

    /** A request is written in three parts; it counts as sent once the last one was written to the socket. */
    @Test(dataProvider = "writeCounts")
    public void requestIsSentOnceItsLastPartIsWritten(int succeedingWrites, boolean sent) {
        RecordingListener listener = new RecordingListener();
        EngineConnection connection = EngineWarmup.newConnection();
        EmbeddedChannel channel = openChannel(connection);
        channel.pipeline().addFirst(new ChannelOutboundHandlerAdapter() {
            private int writes;

            @Override
            public void write(ChannelHandlerContext ctx, Object message, ChannelPromise done) {
                ((ByteBuf) message).release();
                if (writes++ < succeedingWrites) {
                    done.setSuccess();
                } else {
                    done.setFailure(new IOException("connection reset"));
                }
            }
        });
        connection.start(listener.attempt);
        assertEquals(listener.attempt.isRequestSent(), sent);
        channel.finishAndReleaseAll();
    }

    @DataProvider
    public Object[][] lostConnections() {
        return new Object[][] {{false, AttemptOutcome.REJECTED}, {true, AttemptOutcome.RESET}};
    }

    @Test(dataProvider = "lostConnections")
    public void lostConnectionEndsAnAttemptAsResetOnlyIfItWasSent(boolean sent, AttemptOutcome outcome)
            throws IOException {
        RecordingListener listener = new RecordingListener();
        listener.attempt.requestWritten();
        if (sent) {
            listener.attempt.requestSent();
        }
        withPool(pool -> pool.attemptsLost(List.of(listener.attempt)), listener);
        assertEquals(listener.outcomes, List.of(outcome));
    }

    @Test
    public void refusedConnectionEndsTheAttemptAsConnectFailed() throws IOException {
        RecordingListener listener = new RecordingListener();
        withPool(pool -> pool.start(listener.attempt), listener);
        assertEquals(listener.outcomes, List.of(AttemptOutcome.CONNECT_FAILED));
    }

    private static void withPool(Consumer<EnginePool> action, RecordingListener listener) throws IOException {
        InetSocketAddress closedPort;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            closedPort = new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
        }
        EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class);
            EnginePool pool = new EnginePool(bootstrap, closedPort, LIMITS, () -> true, () -> {});
            loop.execute(() -> action.accept(pool));
            Program.await("the attempt's end", () -> !listener.outcomes.isEmpty());
        } finally {
            loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).addListener(FailureLog.TASK);
        }
    }

    private static final class RecordingListener implements QueryAttempt.Listener {
        final List<AttemptOutcome> outcomes = new CopyOnWriteArrayList<>();
        final QueryAttempt attempt = new QueryAttempt(
                "00aa",
                "report",
                Unpooled.copiedBuffer("select 1", StandardCharsets.US_ASCII),
                new QueryAttempt.TimeLimits(1000, 1000),
                0,
                1,
                this);

        @Override
        public void ended(AttemptOutcome outcome, ByteBuf result) {
            outcomes.add(outcome);
            if (result != null) {
                result.release();
            }
        }
    }
}
