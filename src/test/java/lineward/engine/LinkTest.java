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
import org.testng.annotations.Test;
import peatwick.Front;

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
        Link link = new Link(Rehearsal.NOBODY);
        ByteBuf statement = statement("select 1");
        List<Front.Outcome> outcomes = new ArrayList<>();
        Run run = run(statement, outcomes);
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
        Link link = new Link(Rehearsal.NOBODY);
        ByteBuf statement = statement("select 1");
        List<Front.Outcome> outcomes = new ArrayList<>();
        link.start(run(statement, outcomes));
        link.recall();
        assertEquals(outcomes, List.of(Front.Outcome.FULL));
        assertEquals(written(up(link)), "");
        assertEquals(statement.refCnt(), 1, "the request's own");
        statement.release();
    }

    /** Danger: engines forget keys; a repeat whose connection came up too late would run a second time. */
    @Test
    public void whatMayBeginNoLongerDoesNotGoOut() {
        Link link = new Link(Rehearsal.NOBODY);
        ByteBuf statement = statement("select 1");
        List<Front.Outcome> outcomes = new ArrayList<>();
        link.start(run(statement, outcomes, 0));
        assertEquals(written(up(link)), "");
        assertEquals(outcomes, List.of(Front.Outcome.FULL));
        statement.release();
    }

    /** An engine that turns all away must not have ids pile up here. */
    @Test
    public void whatIsKeptOfEndedRunsIsBounded() {
        Link link = new Link(Rehearsal.NOBODY);
        EmbeddedChannel channel = up(link);
        channel.pipeline().addFirst(new ReplyDecoder());
        ByteBuf statement = statement("select 1");
        for (int i = 0; i < Link.MOST_SPENT; i++) {
            String id = String.format("%016x", i);
            assertEquals(link.takes(id, 10), true, "run " + i);
            link.start(new Run(id, "look", statement, new Run.Times(60_000, 60_000), 0, 1, (o, r) -> {}));
            channel.writeInbound(statement(id + " SHED - 0\r\n\r\n"));
        }
        assertEquals(link.takes("ffff", 10), false);
        statement.release();
    }

    private static Run run(ByteBuf statement, List<Front.Outcome> outcomes) {
        return run(statement, outcomes, 1000);
    }

    private static Run run(ByteBuf statement, List<Front.Outcome> outcomes, long beginWithinMs) {
        return new Run(
                "00aa",
                "look",
                statement,
                new Run.Times(1000, beginWithinMs),
                0,
                1,
                (outcome, result) -> outcomes.add(outcome));
    }

    private static EmbeddedChannel up(Link link) {
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
