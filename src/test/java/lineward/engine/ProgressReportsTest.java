package lineward.engine;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.ProgressKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which progress reports notify the listener, and which are ignored. */
public class ProgressReportsTest {
    @DataProvider
    public Object[][] reports() {
        return new Object[][] {
            {"done", "0.25", ProgressKind.RATIO_DONE, 0.25},
            {"done", "1", ProgressKind.RATIO_DONE, 1.0},
            {"spills", "118.5", ProgressKind.SPILLING, 118.5},
            {"waits", "1", ProgressKind.WAITING_FOR_MEMORY, 1.0},
            {"waits", "2.0", ProgressKind.WAITING_FOR_LOAD, 2.0},
            {"waits", "3", null, 0},
            {"done", "1.01", null, 0},
            {"done", "-0.1", null, 0},
            {"done", "NaN", null, 0},
            {"done", "1e3", null, 0},
            {"done", "", null, 0},
            {"done", null, null, 0},
            {"mood", "1", null, 0},
            {null, "1", null, 0},
            {"spills", "9".repeat(40), null, 0}
        };
    }

    @Test(dataProvider = "reports")
    public void onlySupportedKindsWithValidAmountsAreReported(
            String kind, String amount, ProgressKind expected, double value) {
        Map<String, String> fields = new HashMap<>(Map.of("more", "x"));
        if (kind != null) {
            fields.put("n", kind);
        }
        if (amount != null) {
            fields.put("datum", amount);
        }
        RecordingListener listener = new RecordingListener();
        ProgressReports.notifyListener(fields, listener);
        assertEquals(listener.events, expected == null ? List.of() : List.of(expected + " " + value));
    }

    /** A report that the engine sent before it received the cancel may arrive after the attempt has ended. */
    @Test
    public void reportAfterTheEndIsIgnored() {
        RecordingListener listener = new RecordingListener();
        QueryAttempt.TimeLimits timeLimits = new QueryAttempt.TimeLimits(1000, 1000);
        ByteBuf statement = Unpooled.EMPTY_BUFFER;
        QueryAttempt attempt = new QueryAttempt("00aa", "report", statement, timeLimits, 0, 1, listener);
        Map<String, String> fields = Map.of("n", "done", "datum", "0.5");
        Reply report = new Reply("00aa", ReplyType.PROGRESS, fields, Unpooled.EMPTY_BUFFER);
        attempt.progressed(report);
        attempt.discard();
        attempt.progressed(report);
        assertEquals(listener.events, List.of(ProgressKind.RATIO_DONE + " 0.5"));
    }

    private static final class RecordingListener implements QueryAttempt.Listener {
        private final List<String> events = new ArrayList<>();

        @Override
        public void ended(AttemptOutcome outcome, ByteBuf result) {
            events.add(outcome.name());
        }

        @Override
        public void progressed(ProgressKind kind, double amount) {
            events.add(kind + " " + amount);
        }
    }
}
