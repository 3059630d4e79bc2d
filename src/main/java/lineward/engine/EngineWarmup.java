package lineward.engine;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;
import lineward.core.ByteBudget;
import lineward.scheduling.AttemptOutcome;

/**
 * Runs attempts on an in-memory connection, so that the JVM loads and compiles the code before the first
 * request. Called once, on the event loop.
 */
public final class EngineWarmup {
    private static final int ATTEMPT_COUNT = 60;
    private static final QueryAttempt.TimeLimits TIME_LIMITS = new QueryAttempt.TimeLimits(1000, 1000);

    /** Ignores all events. */
    private static final ConnectionListener NO_OP_LISTENER = new ConnectionListener() {
        @Override
        public void closed(EngineConnection connection) {}

        @Override
        public void requestSent() {}

        @Override
        public void connected(EngineConnection connection) {}

        @Override
        public void replyReceived() {}

        @Override
        public void attemptsLost(List<QueryAttempt> attempts) {}

        @Override
        public void attemptsNotSent(List<QueryAttempt> attempts, Throwable cause) {}
    };

    private EngineWarmup() {}

    /** Returns a connection without a pool, whose incomplete results have no limit. */
    static EngineConnection newConnection() {
        return new EngineConnection(NO_OP_LISTENER, ByteBudget.unlimited());
    }

    /** Runs the attempts, each with a result of two pages. */
    public static void run() {
        EngineConnection connection = newConnection();
        EmbeddedChannel channel = new EmbeddedChannel(new ReplyDecoder(), connection);
        connection.setChannel(channel);
        ByteBuf statement = Unpooled.copiedBuffer("select 1", StandardCharsets.US_ASCII);
        for (int i = 0; i < ATTEMPT_COUNT; i++) {
            String id = String.format("%016x", i);
            QueryAttempt.Listener listener = EngineWarmup::releaseResult;
            connection.start(new QueryAttempt(id, "warmup", statement, TIME_LIMITS, 1, 1, listener));
            writeReply(channel, id, LineProtocol.FIRST_PAGE, LineProtocol.PAGE_COUNT_FIELD + "=2");
            writeReply(channel, id, LineProtocol.NEXT_PAGE, LineProtocol.PAGE_INDEX_FIELD + "=1");
            releaseOutbound(channel);
        }
        channel.close().addListener(FailureLog.CHANNEL);
        statement.release();
    }

    private static void writeReply(EmbeddedChannel channel, String id, String type, String fields) {
        String page = "a\tb\tc\n";
        String header = String.join(" ", id, type, fields, String.valueOf(page.length()));
        String reply = header + LineProtocol.LINE_TERMINATOR + page + LineProtocol.LINE_TERMINATOR;
        channel.writeInbound(Unpooled.copiedBuffer(reply, StandardCharsets.US_ASCII));
    }

    private static void releaseOutbound(EmbeddedChannel channel) {
        for (Object message = channel.readOutbound(); message != null; message = channel.readOutbound()) {
            ReferenceCountUtil.release(message);
        }
    }

    private static void releaseResult(AttemptOutcome outcome, ByteBuf result) {
        if (result != null) {
            result.release();
        }
    }
}
