package lineward.engine;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the request of a health check, and which replies answer it. */
public class HealthCheckTest {
    private final List<String> received = new ArrayList<>();

    private EmbeddedChannel startCheck(HealthCheck.Kind kind) {
        received.clear();
        EngineConnection connection = EngineWarmup.newConnection();
        EmbeddedChannel channel = new EmbeddedChannel(new ReplyDecoder());
        connection.setChannel(channel);
        channel.pipeline().addLast(connection);
        connection.checkHealth(kind, reply -> {
            String load = Arrays.toString(reply.numbers("l"));
            received.add(reply.type() + load);
        });
        connection.channelActive(channel.pipeline().context(connection));
        return channel;
    }

    private static String readTag(EmbeddedChannel channel, String token) {
        ByteBuf request = channel.readOutbound();
        String[] parts = request.toString(StandardCharsets.US_ASCII).split("[ \r]", -1);
        request.release();
        assertEquals(parts[0], token);
        return parts[1];
    }

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {HealthCheck.Kind.PING, "there", " PONG - 0", List.of("HEALTHY[]")},
            {HealthCheck.Kind.PING, "there", " SICK - 0", List.of("UNHEALTHY[]")},
            {HealthCheck.Kind.LOAD_REPORT, "busy", " SICK l=7 0", List.of("UNHEALTHY[7.0]")},
            {HealthCheck.Kind.LOAD_REPORT, "busy", " PONG l=3;0.25 0", List.of("HEALTHY[3.0, 0.25]")},
            {HealthCheck.Kind.LOAD_REPORT, "busy", " PONG l=x;1 0", List.of("HEALTHY[]")},
            {HealthCheck.Kind.LOAD_REPORT, "busy", " PONG l=1e9 0", List.of("HEALTHY[]")},
            {HealthCheck.Kind.PING, "there", "0 PONG - 0", List.of()},
            {HealthCheck.Kind.PING, "there", " INFO - 0", List.of()},
            {HealthCheck.Kind.PING, "there", " FAULT - 0", List.of()}
        };
    }

    /** Each reply is sent twice; the duplicate, and replies of another tag or type, are ignored. */
    @Test(dataProvider = "answers")
    public void onlyTheFirstAnswerWithItsTagCounts(
            HealthCheck.Kind kind, String token, String answer, List<String> expected) {
        EmbeddedChannel channel = startCheck(kind);
        String reply = readTag(channel, token) + answer + "\r\n\r\n";
        channel.writeInbound(Unpooled.copiedBuffer(reply + reply, StandardCharsets.US_ASCII));
        assertEquals(received, expected);
        channel.finishAndReleaseAll();
    }
}
