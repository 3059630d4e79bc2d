package lineward.mysql.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;
import lineward.mysql.client.CursorState.Event;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the complete transition table of a cursor: one row for each state, one column for each event. */
public class CursorStateTest {
    private static final Event[] EVENTS = {
        Event.COLUMNS_SENT,
        Event.FETCH_REQUESTED,
        Event.NO_ROWS_LEFT,
        Event.FETCH_COMPLETED,
        Event.CLOSE_REQUESTED, // in the order of the columns
    };

    /** The state after each event, or a dash if the event is not possible and must be rejected. */
    @DataProvider
    public Object[][] transitions() {
        return new Object[][] {
            {"OPENING", "READY - - - CLOSED"},
            {"READY", "- FETCHING EXHAUSTED - CLOSED"},
            {"FETCHING", "- - FETCHING_LAST READY CLOSED"},
            {"FETCHING_LAST", "- - - - CLOSED"},
            {"EXHAUSTED", "- FETCHING_LAST - - CLOSED"},
            {"CLOSED", "- - - - CLOSED"}
        };
    }

    @Test(dataProvider = "transitions")
    public void changesTheStateAsInTheTable(String from, String row) {
        CursorState state = CursorState.valueOf(from);
        String[] expected = row.split(" ", EVENTS.length);
        for (int i = 0; i < EVENTS.length; i++) {
            Event event = EVENTS[i];
            if (expected[i].equals("-")) {
                assertThrows(IllegalStateException.class, () -> state.after(event));
            } else {
                assertEquals(state.after(event), CursorState.valueOf(expected[i]), from + " on " + event);
            }
        }
    }

    @Test
    public void tableHasEveryStateAndEvent() {
        assertEquals(Set.of(EVENTS), EnumSet.allOf(Event.class));
        Object stateNames = Arrays.stream(CursorState.values()).map(Enum::name).toList();
        assertEquals(Arrays.stream(transitions()).map(row -> row[0]).toList(), stateNames);
    }

    @DataProvider
    public Object[][] predicates() {
        return new Object[][] {
            {CursorState.OPENING, false, false, true},
            {CursorState.READY, false, false, false},
            {CursorState.FETCHING, true, false, true},
            {CursorState.FETCHING_LAST, true, true, true},
            {CursorState.EXHAUSTED, false, true, false},
            {CursorState.CLOSED, false, true, false}
        };
    }

    @Test(dataProvider = "predicates")
    public void predicatesMatchTheTable(CursorState state, boolean fetching, boolean done, boolean pending) {
        assertEquals(state.isFetching(), fetching);
        assertEquals(state.isDone(), done);
        assertEquals(state.isReplyPending(), pending);
    }
}
