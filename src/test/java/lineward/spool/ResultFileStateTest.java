package lineward.spool;

import static lineward.spool.ResultFileState.ABSENT;
import static lineward.spool.ResultFileState.APPENDABLE;
import static lineward.spool.ResultFileState.SEALED;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.function.Supplier;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the transitions of a result file's state. */
public class ResultFileStateTest {
    /** State; next state after a block write and after a seal; null if the transition is illegal. */
    @DataProvider
    public Object[][] transitions() {
        return new Object[][] {
            {ABSENT, APPENDABLE, SEALED},
            {APPENDABLE, APPENDABLE, SEALED},
            {SEALED, null, null}
        };
    }

    @Test(dataProvider = "transitions")
    public void eventLeadsToState(
            ResultFileState state, ResultFileState stateAfterWrite, ResultFileState stateAfterSeal) {
        assertTransition(state::writeBlock, stateAfterWrite);
        assertTransition(state::seal, stateAfterSeal);
    }

    private static void assertTransition(Supplier<ResultFileState> event, ResultFileState next) {
        if (next == null) {
            assertThrows(IllegalStateException.class, () -> assertEquals(event.get(), next));
        } else {
            assertEquals(event.get(), next);
        }
    }

    @Test
    public void tableCoversEveryState() {
        assertEquals(transitions().length, ResultFileState.values().length);
    }
}
