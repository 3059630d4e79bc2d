package lineward.spool;

import static lineward.spool.ReaderState.CLOSED;
import static lineward.spool.ReaderState.FAILED;
import static lineward.spool.ReaderState.LOADED;
import static lineward.spool.ReaderState.LOADING;
import static lineward.spool.ReaderState.READY;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;
import java.util.stream.Collectors;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the transitions of a reader's state. */
public class ReaderStateTest {
    /** State; next state after a successful load, failed load, block read, close; whether it is readable. */
    @DataProvider
    public Object[][] transitions() {
        return new Object[][] {
            {READY, READY, READY, READY, CLOSED, true},
            {LOADING, LOADED, FAILED, LOADING, CLOSED, true},
            {LOADED, LOADED, LOADED, READY, CLOSED, true},
            {FAILED, FAILED, FAILED, FAILED, CLOSED, false},
            {CLOSED, CLOSED, CLOSED, CLOSED, CLOSED, false}
        };
    }

    @Test(dataProvider = "transitions")
    public void eventLeadsToState(
            ReaderState state,
            ReaderState afterSuccess,
            ReaderState afterFailure,
            ReaderState afterRead,
            ReaderState afterClose,
            boolean readable) {
        assertEquals(state.loadSucceeded(), afterSuccess);
        assertEquals(state.loadFailed(), afterFailure);
        assertEquals(state.blockRead(), afterRead);
        assertEquals(state.close(), afterClose);
        assertEquals(state.isReadable(), readable);
    }

    @Test(dataProvider = "transitions")
    public void onlyReadyReaderStartsLoad(ReaderState state, Object... ignored) {
        if (state == READY) {
            assertEquals(state.startLoad(), LOADING);
        } else {
            assertThrows(IllegalStateException.class, state::startLoad);
        }
    }

    @Test
    public void tableCoversEveryState() {
        Set<Object> covered = Arrays.stream(transitions()).map(row -> row[0]).collect(Collectors.toSet());
        assertEquals(covered, EnumSet.allOf(ReaderState.class));
    }
}
