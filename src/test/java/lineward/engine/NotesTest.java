package lineward.engine;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peatwick.Front;
import peatwick.Front.NoteKind;

/** What a note on a run may say, and what is passed over. */
public class NotesTest {
    @DataProvider
    public Object[][] notes() {
        return new Object[][] {
            {"done", "0.25", NoteKind.PROGRESS, 0.25},
            {"done", "1", NoteKind.PROGRESS, 1.0},
            {"spills", "118.5", NoteKind.SPILLS, 118.5},
            {"waits", "1", NoteKind.WAITS_FOR_MEMORY, 1.0},
            {"waits", "2.0", NoteKind.WAITS_FOR_LOAD, 2.0},
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
    public void onlyWhatIsKnownAndMakesSenseIsTold(String kind, String amount, NoteKind told, double figure) {
        Map<String, String> fields = new java.util.HashMap<>(Map.of("more", "x"));
        if (kind != null) {
            fields.put("n", kind);
        }
        if (amount != null) {
            fields.put("datum", amount);
        }
        Heard heard = new Heard();
        Notes.read(fields, heard);
        assertEquals(heard.all, told == null ? List.of() : List.of(told + " " + figure));
    }

    /** A note may cross the word that gives its run up. */
    @Test
    public void aNoteOnARunThatIsOverIsNobodys() {
        Heard heard = new Heard();
        Run run = new Run("00aa", "look", Unpooled.EMPTY_BUFFER, new Run.Times(1000, 1000), 0, 1, heard);
        Reply note = new Reply("00aa", Reply.Word.INFO, Map.of("n", "done", "datum", "0.5"), Unpooled.EMPTY_BUFFER);
        run.note(note);
        run.drop();
        run.note(note);
        assertEquals(heard.all, List.of(NoteKind.PROGRESS + " 0.5"));
    }

    private static final class Heard implements Run.Listener {
        private final List<String> all = new ArrayList<>();

        @Override
        public void ended(Front.Outcome outcome, ByteBuf result) {
            all.add(outcome.name());
        }

        @Override
        public void noted(NoteKind kind, double amount) {
            all.add(kind + " " + amount);
        }
    }
}
