package lineward.engine;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the state transitions of an attempt. */
public class QueryAttemptStateTest {
    private static final QueryAttemptState WAITING = QueryAttemptState.WAITING;
    private static final QueryAttemptState WRITTEN = QueryAttemptState.WRITTEN;
    private static final QueryAttemptState SENT = QueryAttemptState.SENT;
    private static final QueryAttemptState ENDED = QueryAttemptState.ENDED;

    /** Rows of a state, its successors (request written, sent, ended), and whether the request is written. */
    @DataProvider
    public Object[][] transitions() {
        return new Object[][] {
            {WAITING, WRITTEN, WAITING, ENDED, false},
            {WRITTEN, WRITTEN, SENT, ENDED, true},
            {SENT, SENT, SENT, ENDED, true},
            {ENDED, ENDED, ENDED, ENDED, false}
        };
    }

    @Test(dataProvider = "transitions")
    public void eachEventLeadsToTheNextState(
            QueryAttemptState state,
            QueryAttemptState written,
            QueryAttemptState sent,
            QueryAttemptState ended,
            boolean isWritten) {
        assertEquals(state.requestWritten(), written);
        assertEquals(state.requestSent(), sent);
        assertEquals(state.ended(), ended);
        assertEquals(state.isRequestWritten(), isWritten);
    }
}
