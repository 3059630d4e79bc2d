package lineward.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lineward.core.ByteBudget;
import lineward.scheduling.AttemptOutcome;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the bodies of replies that are not kept are released. */
public class InFlightAttemptsTest {
    private static final String PAGE = "a\tb\tc\n";
    private static final QueryAttempt.TimeLimits TIME_LIMITS = new QueryAttempt.TimeLimits(1000, 1000);

    @DataProvider
    public Object[][] malformed() {
        return new Object[][] {
            {ReplyType.FIRST_PAGE, "total", "x", "a\tb\tc\n"},
            {ReplyType.FIRST_PAGE, "total", "0", "a\tb\tc\n"},
            {ReplyType.FIRST_PAGE, "total", "1", "no row"},
            {ReplyType.NEXT_PAGE, "index", "x", "a\tb\tc\n"},
            {ReplyType.NEXT_PAGE, "index", "1", "a\tb\tc\n"}
        };
    }

    @Test(dataProvider = "malformed")
    public void bodyOfMalformedReplyIsReleased(ReplyType type, String field, String value, String page) {
        InFlightAttempts attempts = new InFlightAttempts(ByteBudget.unlimited());
        QueryAttempt.Listener ignored = (outcome, result) -> {};
        attempts.add(new QueryAttempt("00aa", "report", Unpooled.EMPTY_BUFFER, TIME_LIMITS, 0, 1, ignored));
        ByteBuf body = Unpooled.copiedBuffer(page, StandardCharsets.US_ASCII);
        Reply reply = new Reply("00aa", type, Map.of(field, value), body);
        RequestWriter writer = new RequestWriter(new EmbeddedChannel());
        assertThrows(MalformedReplyException.class, () -> attempts.handle(reply, writer));
        assertEquals(body.refCnt(), 0);
    }

    /** Guards against incomplete results that are bounded for each attempt, but not in all (review/8). */
    @Test
    public void discardsTheResultThatExceedsTheBudgetOfIncompleteResults() {
        ByteBudget budget = new ByteBudget(2L * PAGE.length());
        InFlightAttempts attempts = new InFlightAttempts(budget);
        RequestWriter writer = new RequestWriter(new EmbeddedChannel());
        List<AttemptOutcome> outcomes = new ArrayList<>();
        QueryAttempt.Listener listener = (outcome, result) -> outcomes.add(outcome);
        for (String id : List.of("00aa", "00bb")) {
            attempts.add(new QueryAttempt(id, "report", Unpooled.EMPTY_BUFFER, TIME_LIMITS, 0, 1, listener));
            attempts.handle(page(id, ReplyType.FIRST_PAGE, "total", "3"), writer);
        }
        Reply exceeding = page("00aa", ReplyType.NEXT_PAGE, "index", "1");
        attempts.handle(exceeding, writer);
        assertEquals(exceeding.body().refCnt(), 0);
        assertEquals(outcomes, List.of(AttemptOutcome.CANCELLED));
        assertEquals(budget.used(), PAGE.length());
        attempts.handle(page("00bb", ReplyType.NEXT_PAGE, "index", "1"), writer);
        attempts.handle(page("00bb", ReplyType.NEXT_PAGE, "index", "2"), writer);
        assertEquals(outcomes, List.of(AttemptOutcome.CANCELLED, AttemptOutcome.OK));
        assertEquals(budget.used(), 0);
    }

    private static Reply page(String id, ReplyType type, String field, String value) {
        ByteBuf body = Unpooled.copiedBuffer(PAGE, StandardCharsets.US_ASCII);
        return new Reply(id, type, Map.of(field, value), body);
    }
}
