package lineward.spool;

import static lineward.spool.ResultState.COMPLETE;
import static lineward.spool.ResultState.EXPIRED_COMPLETE;
import static lineward.spool.ResultState.EXPIRED_FAILED;
import static lineward.spool.ResultState.EXPIRED_RECEIVING;
import static lineward.spool.ResultState.EXPIRED_RELEASED;
import static lineward.spool.ResultState.FAILED;
import static lineward.spool.ResultState.RECEIVING;
import static lineward.spool.ResultState.RELEASED;
import static org.testng.Assert.assertEquals;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;
import java.util.stream.Collectors;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the transitions of a spooled result's state. */
public class ResultStateTest {
    @DataProvider
    public Object[][] transitions() {
        return new Object[][] {
            // state; next state after complete, fail, expire, release
            {RECEIVING, COMPLETE, FAILED, EXPIRED_RECEIVING, RELEASED},
            {COMPLETE, COMPLETE, COMPLETE, EXPIRED_COMPLETE, RELEASED},
            {FAILED, FAILED, FAILED, EXPIRED_FAILED, RELEASED},
            {RELEASED, RELEASED, RELEASED, EXPIRED_RELEASED, RELEASED},
            {EXPIRED_RECEIVING, EXPIRED_COMPLETE, EXPIRED_FAILED, EXPIRED_RECEIVING, EXPIRED_RELEASED},
            {EXPIRED_COMPLETE, EXPIRED_COMPLETE, EXPIRED_COMPLETE, EXPIRED_COMPLETE, EXPIRED_RELEASED},
            {EXPIRED_FAILED, EXPIRED_FAILED, EXPIRED_FAILED, EXPIRED_FAILED, EXPIRED_RELEASED},
            {EXPIRED_RELEASED, EXPIRED_RELEASED, EXPIRED_RELEASED, EXPIRED_RELEASED, EXPIRED_RELEASED},
        };
    }

    @Test(dataProvider = "transitions")
    public void eventLeadsToState(
            ResultState state,
            ResultState afterComplete,
            ResultState afterFail,
            ResultState afterExpire,
            ResultState afterRelease) {
        assertEquals(state.complete(), afterComplete);
        assertEquals(state.fail(), afterFail);
        assertEquals(state.expire(), afterExpire);
        assertEquals(state.release(), afterRelease);
    }

    @Test
    public void tableCoversEveryState() {
        Set<Object> covered = Arrays.stream(transitions()).map(row -> row[0]).collect(Collectors.toSet());
        assertEquals(covered, EnumSet.allOf(ResultState.class));
    }
}
