package lineward.engine;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the state transitions of a connection. */
public class ConnectionStateTest {
    private static final ConnectionState CONNECTING = ConnectionState.CONNECTING;
    private static final ConnectionState OVERDUE = ConnectionState.CONNECT_OVERDUE;
    private static final ConnectionState READY = ConnectionState.READY;
    private static final ConnectionState PENDING = ConnectionState.HEARTBEAT_PENDING;
    private static final ConnectionState AFTER_CANCEL = ConnectionState.HEARTBEAT_PENDING_AFTER_CANCEL;
    private static final ConnectionState CLOSED = ConnectionState.CLOSED;

    /**
     * Rows of a state and its successor on each event: connect overdue, connected, heartbeat sent, attempt
     * cancelled, reply received, closed.
     */
    @DataProvider
    public Object[][] transitions() {
        return new Object[][] {
            {CONNECTING, OVERDUE, READY, CONNECTING, CONNECTING, CONNECTING, CLOSED},
            {OVERDUE, OVERDUE, READY, OVERDUE, OVERDUE, OVERDUE, CLOSED},
            {READY, READY, READY, PENDING, AFTER_CANCEL, READY, CLOSED},
            {PENDING, PENDING, PENDING, PENDING, AFTER_CANCEL, READY, CLOSED},
            {AFTER_CANCEL, AFTER_CANCEL, AFTER_CANCEL, AFTER_CANCEL, AFTER_CANCEL, READY, CLOSED},
            {CLOSED, CLOSED, CLOSED, CLOSED, CLOSED, CLOSED, CLOSED}
        };
    }

    @Test(dataProvider = "transitions")
    public void eachEventLeadsToTheNextState(
            ConnectionState state,
            ConnectionState overdue,
            ConnectionState connected,
            ConnectionState heartbeatSent,
            ConnectionState cancelled,
            ConnectionState replyReceived,
            ConnectionState closed) {
        assertEquals(state.connectOverdue(), overdue);
        assertEquals(state.connected(), connected);
        assertEquals(state.heartbeatSent(), heartbeatSent);
        assertEquals(state.attemptCancelled(), cancelled);
        assertEquals(state.replyReceived(), replyReceived);
        assertEquals(state.closed(), closed);
    }

    @DataProvider
    public Object[][] properties() {
        return new Object[][] {
            {CONNECTING, true, false, false, true},
            {OVERDUE, true, false, false, false},
            {READY, false, true, false, true},
            {PENDING, false, true, true, true},
            {AFTER_CANCEL, false, true, true, false},
            {CLOSED, false, false, false, false}
        };
    }

    @Test(dataProvider = "properties")
    public void stateDeterminesWhatTheConnectionMayDo(
            ConnectionState state, boolean connecting, boolean isUp, boolean pending, boolean accepting) {
        assertEquals(state.isConnecting(), connecting);
        assertEquals(state.isUp(), isUp);
        assertEquals(state.isHeartbeatPending(), pending);
        assertEquals(state.acceptsAttempts(), accepting);
    }
}
