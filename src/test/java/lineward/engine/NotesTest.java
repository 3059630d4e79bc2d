package lineward.engine;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.ProgressKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What a note on a run may say, and what is passed over. */
public class NotesTest {
    @DataProvider
    public Object[][] notes() {
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

    @Test(dataProvider = "notes")
    public void onlyWhatIsKnownAndMakesSenseIsTold(String kind, String amount, ProgressKind told, double figure) {
        Map<String, String> fields = new java.util.HashMap<>(Map.of("more", "x"));
        if (kind != null) {
            fields.put("n", kind);
        }
        if (amount != null) {
            fields.put("datum", amount);
        }
        Heard heard = new Heard();
        ProgressReports.read(fields, heard);
        assertEquals(heard.all, told == null ? List.of() : List.of(told + " " + figure));
    }

    /** A note may cross the word that gives its run up. */
    @Test
    public void aNoteOnARunThatIsOverIsNobodys() {
        Heard heard = new Heard();
        QueryAttempt run = new QueryAttempt(
                "00aa", "look", Unpooled.EMPTY_BUFFER, new QueryAttempt.Timing(1000, 1000), 0, 1, heard);
        Reply note = new Reply("00aa", Reply.Word.INFO, Map.of("n", "done", "datum", "0.5"), Unpooled.EMPTY_BUFFER);
        run.note(note);
        run.drop();
        run.note(note);
        assertEquals(heard.all, List.of(ProgressKind.RATIO_DONE + " 0.5"));
    }

    private static final class Heard implements QueryAttempt.Listener {
        private final List<String> all = new ArrayList<>();

        @Override
        public void ended(AttemptOutcome outcome, ByteBuf result) {
            all.add(outcome.name());
        }

        @Override
        public void progressed(ProgressKind kind, double amount) {
            all.add(kind + " " + amount);
        }
    }
}
