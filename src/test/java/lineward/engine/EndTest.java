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
import lineward.Program;
import lineward.scheduling.AttemptOutcome;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Every end that an attempt can have on the wire, and whether the request may have run there. */
public class EndTest {
    /** Only behind these may what is unsafe to repeat go out again. */
    private static final Set<AttemptEnd> NEVER_RAN =
            EnumSet.of(AttemptEnd.SHED, AttemptEnd.LATE, AttemptEnd.UNREACHED, AttemptEnd.UNSENT, AttemptEnd.CUT_SHORT);

    @Test
    public void eachEndSaysWhetherItMayHaveRun() {
        for (AttemptEnd end : AttemptEnd.values()) {
            assertEquals(end.outcome.mayHaveRun(), !NEVER_RAN.contains(end), end.name());
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
    public void eachAnswerHasItsEnd(String reply, AttemptOutcome outcome) {
        Heard heard = new Heard();
        EngineConnection link = new EngineConnection(EngineWarmup.NOBODY);
        EmbeddedChannel channel = channel(link);
        link.start(heard.run);
        channel.writeInbound(Unpooled.copiedBuffer(reply, StandardCharsets.US_ASCII));
        channel.advanceTimeBy(1, TimeUnit.SECONDS);
        channel.runScheduledPendingTasks();
        assertEquals(heard.outcomes, List.of(outcome));
        channel.finishAndReleaseAll();
    }

    private static EmbeddedChannel channel(EngineConnection link) {
        EmbeddedChannel channel = new EmbeddedChannel(new ReplyDecoder());
        link.connecting(channel);
        channel.pipeline().addLast(link);
        link.channelActive(channel.pipeline().context(link));
        return channel;
    }

    @DataProvider
    public Object[][] writes() {
        return new Object[][] {{0, false}, {1, false}, {2, false}, {3, true}};
    }

    /** A request has three pieces; the engine can have it whole only once the socket took the last. */
    @Test(dataProvider = "writes")
    public void aRequestIsOutOnceTheSocketHasItsLastByte(int taken, boolean whole) {
        Heard heard = new Heard();
        EngineConnection link = new EngineConnection(EngineWarmup.NOBODY);
        EmbeddedChannel channel = channel(link);
        channel.pipeline().addFirst(new ChannelOutboundHandlerAdapter() {
            private int writes;

            @Override
            public void write(ChannelHandlerContext ctx, Object message, ChannelPromise done) {
                ((ByteBuf) message).release();
                if (writes++ < taken) {
                    done.setSuccess();
                } else {
                    done.setFailure(new IOException("connection reset"));
                }
            }
        });
        link.start(heard.run);
        assertEquals(heard.run.sentWhole, whole);
        channel.finishAndReleaseAll();
    }

    @DataProvider
    public Object[][] breaks() {
        return new Object[][] {{false, AttemptOutcome.REJECTED}, {true, AttemptOutcome.RESET}};
    }

    @Test(dataProvider = "breaks")
    public void aBrokenConnectionProvesNothingOnceTheRequestWasOut(boolean whole, AttemptOutcome outcome)
            throws IOException {
        Heard heard = new Heard();
        heard.run.sentWhole = whole;
        withPool(pool -> pool.lost(List.of(heard.run)), heard);
        assertEquals(heard.outcomes, List.of(outcome));
    }

    @Test
    public void aRefusedConnectionProvesThatNothingRan() throws IOException {
        Heard heard = new Heard();
        withPool(pool -> pool.start(heard.run), heard);
        assertEquals(heard.outcomes, List.of(AttemptOutcome.CONNECT_FAILED));
    }

    private static void withPool(Consumer<EnginePool> act, Heard heard) throws IOException {
        InetSocketAddress nobody;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            nobody = new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
        }
        EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            Bootstrap bootstrap = new Bootstrap().group(loop).channel(NioSocketChannel.class);
            EnginePool pool = new EnginePool(
                    bootstrap, nobody, new EngineCluster.Limits(250, 30_000, 10, 100, false), () -> true, () -> {});
            loop.execute(() -> act.accept(pool));
            Program.await("an end", () -> !heard.outcomes.isEmpty());
        } finally {
            loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static final class Heard implements QueryAttempt.Listener {
        final List<AttemptOutcome> outcomes = new CopyOnWriteArrayList<>();
        final QueryAttempt run = new QueryAttempt(
                "00aa",
                "look",
                Unpooled.copiedBuffer("select 1", StandardCharsets.US_ASCII),
                new QueryAttempt.Timing(1000, 1000),
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
