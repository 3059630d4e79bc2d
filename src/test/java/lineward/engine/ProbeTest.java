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

/** What a probe says to an engine, and which answers count. */
public class ProbeTest {
    private final List<String> heard = new ArrayList<>();

    private EmbeddedChannel asked(String word) {
        heard.clear();
        EngineConnection link = new EngineConnection(EngineWarmup.NOBODY);
        EmbeddedChannel channel = new EmbeddedChannel(new ReplyDecoder());
        link.connecting(channel);
        channel.pipeline().addLast(link);
        link.probe(word, reply -> heard.add(reply.word() + Arrays.toString(reply.figures("l"))));
        link.channelActive(channel.pipeline().context(link));
        return channel;
    }

    private static String tag(EmbeddedChannel channel, String word) {
        ByteBuf said = channel.readOutbound();
        String[] words = said.toString(StandardCharsets.US_ASCII).split("[ \r]");
        said.release();
        assertEquals(words[0], word);
        return words[1];
    }

    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {"there", " PONG - 0", List.of("PONG[]")},
            {"there", " SICK - 0", List.of("SICK[]")},
            {"busy", " SICK l=7 0", List.of("SICK[7.0]")},
            {"busy", " PONG l=3;0.25 0", List.of("PONG[3.0, 0.25]")},
            {"busy", " PONG l=x;1 0", List.of("PONG[]")},
            {"busy", " PONG l=1e9 0", List.of("PONG[]")},
            {"there", "0 PONG - 0", List.of()},
            {"there", " INFO - 0", List.of()},
            {"there", " FAULT - 0", List.of()}
        };
    }

    /** A second answer, and one under another tag, is nobody's. */
    @Test(dataProvider = "answers")
    public void onlyItsOwnAnswerCountsAndOnce(String word, String answer, List<String> expected) {
        EmbeddedChannel channel = asked(word);
        String line = tag(channel, word) + answer + "\r\n\r\n";
        channel.writeInbound(Unpooled.copiedBuffer(line + line, StandardCharsets.US_ASCII));
        assertEquals(heard, expected);
        channel.finishAndReleaseAll();
    }
}
