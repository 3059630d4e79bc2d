package lineward.mysql.engine;

import static lineward.scheduling.AttemptOutcome.CANCELLED;
import static lineward.scheduling.AttemptOutcome.CONNECT_FAILED;
import static lineward.scheduling.AttemptOutcome.ERROR;
import static lineward.scheduling.AttemptOutcome.RESET;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import lineward.mysql.engine.ConnectionState.Transition;
import lineward.scheduling.AttemptOutcome;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the transition table of a connection to an engine, and the outcomes of attempts in each state. */
public class ConnectionStateTest {
    /** The possible transitions of each state, with the state that follows. */
    private static final Map<ConnectionState, String> TABLE = Map.of(
            ConnectionState.CONNECTING, "CLOSE=CLOSED CONNECT=AUTHENTICATING",
            ConnectionState.AUTHENTICATING, "AUTHENTICATE=IDLE CLOSE=CLOSED",
            ConnectionState.IDLE,
                    "APPLY_SETTINGS=APPLYING_SETTINGS CLOSE=CLOSED EXECUTE=EXECUTING PREPARE=PREPARING"
                            + " SELECT_SCHEMA=SELECTING_SCHEMA",
            ConnectionState.APPLYING_SETTINGS,
                    "CLOSE=CLOSED EXECUTE=EXECUTING PREPARE=PREPARING RETIRE=CLOSING"
                            + " SELECT_SCHEMA=SELECTING_SCHEMA",
            ConnectionState.SELECTING_SCHEMA,
                    "CLOSE=CLOSED EXECUTE=EXECUTING PREPARE=PREPARING RELEASE=IDLE RETIRE=CLOSING",
            ConnectionState.PREPARING, "CLOSE=CLOSED EXECUTE=EXECUTING RELEASE=IDLE RETIRE=CLOSING",
            ConnectionState.EXECUTING, "CLOSE=CLOSED KILL=KILLING RELEASE=IDLE RETIRE=CLOSING",
            ConnectionState.KILLING, "CLOSE=CLOSED RETIRE=CLOSING",
            ConnectionState.CLOSING, "CLOSE=CLOSED",
            ConnectionState.CLOSED, "");

    @DataProvider
    public Object[][] states() {
        return Arrays.stream(ConnectionState.values())
                .map(state -> new Object[] {state})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "states")
    public void allowsTheTransitionsOfTheTableOnly(ConnectionState state) {
        Set<String> allowed = new TreeSet<>();
        for (Transition transition : Transition.values()) {
            String entry = transition + "=";
            if (TABLE.get(state).contains(entry)) {
                allowed.add(entry + state.after(transition));
            } else {
                assertThrows(IllegalStateException.class, () -> state.after(transition));
            }
        }
        assertEquals(allowed.stream().collect(Collectors.joining(" ")), TABLE.get(state));
    }

    @DataProvider
    public Object[][] outcomes() {
        return new Object[][] {
            {ConnectionState.CONNECTING, CONNECT_FAILED, CONNECT_FAILED},
            {ConnectionState.AUTHENTICATING, CONNECT_FAILED, CONNECT_FAILED},
            {ConnectionState.APPLYING_SETTINGS, CONNECT_FAILED, CONNECT_FAILED},
            {ConnectionState.SELECTING_SCHEMA, CONNECT_FAILED, CONNECT_FAILED},
            {ConnectionState.PREPARING, CONNECT_FAILED, CONNECT_FAILED},
            {ConnectionState.EXECUTING, RESET, ERROR},
            {ConnectionState.KILLING, CANCELLED, ERROR}
        };
    }

    @Test(dataProvider = "outcomes")
    public void reportsThatAnAttemptMayHaveRunOnceItsCommandIsSent(
            ConnectionState state, AttemptOutcome ofClose, AttemptOutcome ofFault) {
        assertEquals(state.outcomeOfClose(), ofClose);
        assertEquals(state.outcomeOfFault(), ofFault);
        assertEquals(state.isCommandSent(), ofClose.mayHaveRun());
        assertEquals(state.isCommandSent(), ofFault.mayHaveRun());
    }
}
