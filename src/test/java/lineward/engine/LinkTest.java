package lineward.engine;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import lineward.scheduling.AttemptOutcome;
import org.testng.annotations.Test;

/** What a connection to an engine does with its runs. */
public class LinkTest {
    private static ByteBuf statement(String text) {
        return PooledByteBufAllocator.DEFAULT.buffer(64).writeBytes(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String written(EmbeddedChannel channel) {
        StringBuilder all = new StringBuilder();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            all.append(part.toString(StandardCharsets.UTF_8));
            part.release();
        }
        return all.toString();
    }

    /** A client takes its request back in the very turn in which the connection comes up. */
    @Test
    public void aRunKeepsItsStatementThoughItsRequestIsOver() {
        EngineConnection link = new EngineConnection(EngineWarmup.NOBODY);
        ByteBuf statement = statement("select 1");
        List<AttemptOutcome> outcomes = new ArrayList<>();
        QueryAttempt run = run(statement, outcomes);
        link.start(run);
        statement.release();
        ByteBuf next = statement("delete 2");
        EmbeddedChannel channel = up(link);
        assertEquals(written(channel).lines().skip(1).findFirst().orElse(""), "select 1");
        link.stop(run);
        assertEquals(statement.refCnt(), 0, "let go with its run");
        assertEquals(next.refCnt(), 1);
        next.release();
        channel.close();
    }

    @Test
    public void whatWaitsForAConnectionIsTakenBackAndNeverGoesOut() {
        EngineConnection link = new EngineConnection(EngineWarmup.NOBODY);
        ByteBuf statement = statement("select 1");
        List<AttemptOutcome> outcomes = new ArrayList<>();
        link.start(run(statement, outcomes));
        link.recall();
        assertEquals(outcomes, List.of(AttemptOutcome.REJECTED));
        assertEquals(written(up(link)), "");
        assertEquals(statement.refCnt(), 1, "the request's own");
        statement.release();
    }

    /** Danger: engines forget keys; a repeat whose connection came up too late would run a second time. */
    @Test
    public void whatMayBeginNoLongerDoesNotGoOut() {
        EngineConnection link = new EngineConnection(EngineWarmup.NOBODY);
        ByteBuf statement = statement("select 1");
        List<AttemptOutcome> outcomes = new ArrayList<>();
        link.start(run(statement, outcomes, 0));
        assertEquals(written(up(link)), "");
        assertEquals(outcomes, List.of(AttemptOutcome.REJECTED));
        statement.release();
    }

    /** An engine that turns all away must not have ids pile up here. */
    @Test
    public void whatIsKeptOfEndedRunsIsBounded() {
        EngineConnection link = new EngineConnection(EngineWarmup.NOBODY);
        EmbeddedChannel channel = up(link);
        channel.pipeline().addFirst(new ReplyDecoder());
        ByteBuf statement = statement("select 1");
        for (int i = 0; i < EngineConnection.MOST_SPENT; i++) {
            String id = String.format("%016x", i);
            assertEquals(link.takes(id, 10), true, "run " + i);
            link.start(new QueryAttempt(
                    id, "look", statement, new QueryAttempt.Timing(60_000, 60_000), 0, 1, (o, r) -> {}));
            channel.writeInbound(statement(id + " SHED - 0\r\n\r\n"));
        }
        assertEquals(link.takes("ffff", 10), false);
        statement.release();
    }

    private static QueryAttempt run(ByteBuf statement, List<AttemptOutcome> outcomes) {
        return run(statement, outcomes, 1000);
    }

    private static QueryAttempt run(ByteBuf statement, List<AttemptOutcome> outcomes, long beginWithinMs) {
        return new QueryAttempt(
                "00aa",
                "look",
                statement,
                new QueryAttempt.Timing(1000, beginWithinMs),
                0,
                1,
                (outcome, result) -> outcomes.add(outcome));
    }

    private static EmbeddedChannel up(EngineConnection link) {
        ChannelHandler connector = new ChannelInboundHandlerAdapter() {
            @Override
            public void handlerAdded(ChannelHandlerContext ctx) {
                Channel channel = ctx.channel();
                link.connecting(channel);
            }
        };
        return new EmbeddedChannel(connector, link);
    }
}
