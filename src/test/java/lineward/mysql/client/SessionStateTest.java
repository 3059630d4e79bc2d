package lineward.mysql.client;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;
import lineward.mysql.client.SessionState.Event;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks the complete transition table of a client's session: one row for each state, one column for each
 * event.
 */
public class SessionStateTest {
    private static final Event[] EVENTS = {
        Event.AUTH_SWITCH_REQUESTED,
        Event.AUTHENTICATED,
        Event.QUERY_STARTED,
        Event.QUERY_ENDED,
        Event.STREAM_STARTED,
        Event.STREAM_ENDED,
        Event.CLOSE_REQUESTED,
        Event.DISCONNECTED
    };

    /** The state after each event, or a dash if the event leaves the state unchanged. */
    @DataProvider
    public Object[][] transitions() {
        return new Object[][] {
            {"AWAITING_LOGIN", "SWITCHING_AUTH IDLE - - - - REJECTING DISCONNECTED"},
            {"SWITCHING_AUTH", "- IDLE - - - - REJECTING DISCONNECTED"},
            {"IDLE", "- - EXECUTING - STREAMING - CLOSING DISCONNECTED"},
            {"EXECUTING", "- - - IDLE EXECUTING_AND_STREAMING - CLOSING DISCONNECTED"},
            {"STREAMING", "- - - - - IDLE CLOSING DISCONNECTED"},
            {"EXECUTING_AND_STREAMING", "- - - STREAMING - EXECUTING CLOSING DISCONNECTED"},
            {"REJECTING", "- - - - - - - DISCONNECTED"},
            {"CLOSING", "- - - - - - - DISCONNECTED"},
            {"DISCONNECTED", "- - - - - - - -"}
        };
    }

    @Test(dataProvider = "transitions")
    public void changesTheStateAsInTheTable(String from, String row) {
        SessionState state = SessionState.valueOf(from);
        String[] expected = row.split(" ", EVENTS.length);
        assertEquals(EVENTS.length, expected.length);
        for (int i = 0; i < EVENTS.length; i++) {
            SessionState next = expected[i].equals("-") ? state : SessionState.valueOf(expected[i]);
            assertEquals(state.after(EVENTS[i]), next, from + " on " + EVENTS[i]);
        }
    }

    @Test
    public void tableHasEveryStateAndEvent() {
        assertEquals(Set.of(EVENTS), EnumSet.allOf(Event.class));
        assertEquals(Arrays.stream(transitions()).map(row -> row[0]).toList(), stateNames());
    }

    private static Object stateNames() {
        return Arrays.stream(SessionState.values()).map(Enum::name).toList();
    }

    @Test
    public void acceptsPacketsOnlyDuringLoginAndBetweenCommands() {
        Set<SessionState> accepting = EnumSet.noneOf(SessionState.class);
        Set<SessionState> unauthenticated = EnumSet.noneOf(SessionState.class);
        for (SessionState state : SessionState.values()) {
            if (state.acceptsPackets()) {
                accepting.add(state);
            }
            if (state.isUnauthenticated()) {
                unauthenticated.add(state);
            }
        }
        Set<SessionState> duringLogin = EnumSet.of(SessionState.AWAITING_LOGIN, SessionState.SWITCHING_AUTH);
        assertTrue(accepting.remove(SessionState.IDLE), "between commands");
        assertEquals(accepting, duringLogin);
        assertEquals(
                unauthenticated,
                Set.of(SessionState.AWAITING_LOGIN, SessionState.SWITCHING_AUTH, SessionState.REJECTING));
    }
}
