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

/** Tests the lifecycle of attempts on one connection to an engine. */
public class ConnectionAttemptsTest {
    private static ByteBuf buffer(String text) {
        return PooledByteBufAllocator.DEFAULT.buffer(64).writeBytes(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String written(EmbeddedChannel channel) {
        StringBuilder all = new StringBuilder();
        for (ByteBuf piece = channel.readOutbound(); piece != null; piece = channel.readOutbound()) {
            all.append(piece.toString(StandardCharsets.UTF_8));
            piece.release();
        }
        return all.toString();
    }

    /**
     * A client may abort its request, which releases the statement, in the event loop run in which the
     * connection is established. If the attempt did not retain the statement, its memory would be reused and
     * another statement would be sent.
     */
    @Test
    public void attemptRetainsItsStatementWhenItsRequestEnds() {
        EngineConnection connection = EngineWarmup.newConnection();
        ByteBuf statement = buffer("select 1");
        List<AttemptOutcome> outcomes = new ArrayList<>();
        QueryAttempt attempt = attempt(statement, outcomes);
        connection.start(attempt);
        statement.release();
        ByteBuf otherStatement = buffer("delete 2");
        EmbeddedChannel channel = connect(connection);
        assertEquals(written(channel).lines().skip(1).findFirst().orElse(""), "select 1");
        connection.cancel(attempt);
        assertEquals(statement.refCnt(), 0, "the statement is released when its attempt is cancelled");
        assertEquals(otherStatement.refCnt(), 1);
        otherStatement.release();
        channel.close().addListener(FailureLog.CHANNEL);
    }

    @Test
    public void cancelledAttemptThatWaitsForAConnectionIsNeverSent() {
        EngineConnection connection = EngineWarmup.newConnection();
        ByteBuf statement = buffer("select 1");
        List<AttemptOutcome> outcomes = new ArrayList<>();
        connection.start(attempt(statement, outcomes));
        connection.cancelWaitingAttempts();
        assertEquals(outcomes, List.of(AttemptOutcome.REJECTED));
        assertEquals(written(connect(connection)), "");
        assertEquals(statement.refCnt(), 1, "only the request's reference is left");
        statement.release();
    }

    /** Engines drop idempotency keys after a time: a retry that is sent later could run a second time. */
    @Test
    public void attemptPastItsStartDeadlineIsNotSent() {
        EngineConnection connection = EngineWarmup.newConnection();
        ByteBuf statement = buffer("select 1");
        List<AttemptOutcome> outcomes = new ArrayList<>();
        connection.start(attempt(statement, outcomes, 0));
        assertEquals(written(connect(connection)), "");
        assertEquals(outcomes, List.of(AttemptOutcome.REJECTED));
        statement.release();
    }

    /** If an engine rejects every request, the ids of ended attempts must not accumulate without bound. */
    @Test
    public void numberOfEndedAttemptIdsIsBounded() {
        EngineConnection connection = EngineWarmup.newConnection();
        EmbeddedChannel channel = connect(connection);
        channel.pipeline().addFirst(new ReplyDecoder());
        ByteBuf statement = buffer("select 1");
        QueryAttempt.Listener ignored = (outcome, result) -> {};
        QueryAttempt.TimeLimits timeLimits = new QueryAttempt.TimeLimits(60_000, 60_000);
        for (int i = 0; i < EndedAttempts.MAX_ATTEMPTS; i++) {
            String id = String.format("%016x", i);
            assertEquals(connection.accepts(id, 10), true, "attempt " + i);
            connection.start(new QueryAttempt(id, "report", statement, timeLimits, 0, 1, ignored));
            channel.writeInbound(buffer(id + " SHED - 0\r\n\r\n"));
        }
        assertEquals(connection.accepts("ffff", 10), false);
        statement.release();
    }

    private static QueryAttempt attempt(ByteBuf statement, List<AttemptOutcome> outcomes) {
        return attempt(statement, outcomes, 1000);
    }

    private static QueryAttempt attempt(ByteBuf statement, List<AttemptOutcome> outcomes, long startLimitMs) {
        return new QueryAttempt(
                "00aa",
                "report",
                statement,
                new QueryAttempt.TimeLimits(1000, startLimitMs),
                0,
                1,
                (outcome, result) -> outcomes.add(outcome));
    }

    private static EmbeddedChannel connect(EngineConnection connection) {
        ChannelHandler connector = new ChannelInboundHandlerAdapter() {
            @Override
            public void handlerAdded(ChannelHandlerContext ctx) {
                Channel channel = ctx.channel();
                connection.setChannel(channel);
            }
        };
        return new EmbeddedChannel(connector, connection);
    }
}
