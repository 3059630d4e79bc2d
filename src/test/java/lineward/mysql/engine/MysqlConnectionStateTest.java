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
import lineward.mysql.engine.MysqlConnectionState.Transition;
import lineward.scheduling.AttemptOutcome;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the transition table of a connection to an engine, and the outcomes of attempts in each state. */
public class MysqlConnectionStateTest {
    /** The possible transitions of each state, with the state that follows. */
    private static final Map<MysqlConnectionState, String> TRANSITIONS_BY_STATE = Map.of(
            MysqlConnectionState.CONNECTING, "CLOSE=CLOSED CONNECT=AUTHENTICATING",
            MysqlConnectionState.AUTHENTICATING, "AUTHENTICATE=IDLE CLOSE=CLOSED",
            MysqlConnectionState.IDLE,
                    "APPLY_SETTINGS=APPLYING_SETTINGS CLOSE=CLOSED EXECUTE=EXECUTING PREPARE=PREPARING"
                            + " SELECT_SCHEMA=SELECTING_SCHEMA",
            MysqlConnectionState.APPLYING_SETTINGS,
                    "CLOSE=CLOSED EXECUTE=EXECUTING PREPARE=PREPARING RETIRE=CLOSING"
                            + " SELECT_SCHEMA=SELECTING_SCHEMA",
            MysqlConnectionState.SELECTING_SCHEMA,
                    "CLOSE=CLOSED EXECUTE=EXECUTING PREPARE=PREPARING RELEASE=IDLE RETIRE=CLOSING",
            MysqlConnectionState.PREPARING, "CLOSE=CLOSED EXECUTE=EXECUTING RELEASE=IDLE RETIRE=CLOSING",
            MysqlConnectionState.EXECUTING, "CLOSE=CLOSED KILL=KILLING RELEASE=IDLE RETIRE=CLOSING",
            MysqlConnectionState.KILLING, "CLOSE=CLOSED RETIRE=CLOSING",
            MysqlConnectionState.CLOSING, "CLOSE=CLOSED",
            MysqlConnectionState.CLOSED, "");

    @DataProvider
    public Object[][] states() {
        return Arrays.stream(MysqlConnectionState.values())
                .map(state -> new Object[] {state})
                .toArray(Object[][]::new);
    }

    @Test(dataProvider = "states")
    public void allowsOnlyTheTransitionsInTheTable(MysqlConnectionState state) {
        Set<String> allowed = new TreeSet<>();
        for (Transition transition : Transition.values()) {
            String entryPrefix = transition + "=";
            if (TRANSITIONS_BY_STATE.get(state).contains(entryPrefix)) {
                allowed.add(entryPrefix + state.after(transition));
            } else {
                assertThrows(IllegalStateException.class, () -> state.after(transition));
            }
        }
        assertEquals(allowed.stream().collect(Collectors.joining(" ")), TRANSITIONS_BY_STATE.get(state));
    }

    @DataProvider
    public Object[][] outcomes() {
        return new Object[][] {
            {MysqlConnectionState.CONNECTING, CONNECT_FAILED, CONNECT_FAILED},
            {MysqlConnectionState.AUTHENTICATING, CONNECT_FAILED, CONNECT_FAILED},
            {MysqlConnectionState.APPLYING_SETTINGS, CONNECT_FAILED, CONNECT_FAILED},
            {MysqlConnectionState.SELECTING_SCHEMA, CONNECT_FAILED, CONNECT_FAILED},
            {MysqlConnectionState.PREPARING, CONNECT_FAILED, CONNECT_FAILED},
            {MysqlConnectionState.EXECUTING, RESET, ERROR},
            {MysqlConnectionState.KILLING, CANCELLED, ERROR}
        };
    }

    @Test(dataProvider = "outcomes")
    public void reportsThatAnAttemptMayHaveRunOnceItsCommandIsSent(
            MysqlConnectionState state, AttemptOutcome onClose, AttemptOutcome onEngineFailure) {
        assertEquals(state.outcomeOnClose(), onClose);
        assertEquals(state.outcomeOnEngineFailure(), onEngineFailure);
        assertEquals(state.isCommandSent(), onClose.mayHaveRun());
        assertEquals(state.isCommandSent(), onEngineFailure.mayHaveRun());
    }
}
