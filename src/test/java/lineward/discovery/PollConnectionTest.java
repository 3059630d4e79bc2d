package lineward.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import lineward.discovery.PollConnection.State;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the state transitions of a connection, and the limit on the wait in each state. */
public class PollConnectionTest {
    private enum Event {
        POLL,
        PAUSE;

        void applyTo(PollConnection connection) {
            switch (this) {
                case POLL -> connection.recordPoll(100);
                case PAUSE -> connection.pause(200);
            }
        }
    }

    private static PollConnection connectionIn(State state) {
        PollConnection connection = new PollConnection(1, 0);
        if (state != State.CONNECTING) {
            connection.recordPoll(0);
        }
        if (state == State.PAUSED) {
            connection.pause(50);
        }
        return connection;
    }

    @DataProvider
    public Object[][] transitions() {
        return new Object[][] {
            {State.CONNECTING, Event.POLL, State.POLLING},
            {State.CONNECTING, Event.PAUSE, null},
            {State.POLLING, Event.POLL, State.POLLING},
            {State.POLLING, Event.PAUSE, State.PAUSED},
            {State.PAUSED, Event.POLL, State.POLLING},
            {State.PAUSED, Event.PAUSE, State.PAUSED}
        };
    }

    /** If the state after the event is null, the transition is invalid. */
    @Test(dataProvider = "transitions")
    public void eachEventLeadsToTheNextState(State before, Event event, State after) {
        PollConnection connection = connectionIn(before);
        if (after == null) {
            assertThrows(IllegalStateException.class, () -> event.applyTo(connection));
            assertEquals(connection.state(), before);
        } else {
            event.applyTo(connection);
            assertEquals(connection.state(), after);
        }
    }

    @DataProvider
    public Object[][] limits() {
        return new Object[][] {
            {State.CONNECTING, PollConnection.CONNECT_LIMIT_MS},
            {State.POLLING, PollConnection.RESPONSE_LIMIT_MS},
        };
    }

    @Test(dataProvider = "limits")
    public void aConnectionIsOverdueBeyondItsLimit(State state, double limitMs) {
        PollConnection connection = connectionIn(state);
        assertFalse(connection.isOverdue(limitMs));
        assertTrue(connection.isOverdue(limitMs + 1));
    }

    @Test
    public void aPauseIsNeverOverdueAndEndsAtItsTime() {
        PollConnection connection = connectionIn(State.PAUSED);
        assertFalse(connection.isOverdue(1e9));
        assertFalse(connection.isResumeDue(49));
        assertTrue(connection.isResumeDue(50));
    }
}
