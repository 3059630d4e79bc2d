package lineward.telemetry;

import static org.testng.Assert.assertEquals;

import lineward.core.Tracer;
import lineward.scheduling.AttemptOutcome;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The exported outcomes, on which dashboards depend, stay the same if an enum constant is renamed. */
public class OutcomeAttributeTest {
    @DataProvider
    public Object[][] attemptOutcomes() {
        return new Object[][] {
            {AttemptOutcome.OK, "ok"},
            {AttemptOutcome.ERROR, "error"},
            {AttemptOutcome.REJECTED, "full"},
            {AttemptOutcome.TIMEOUT, "timeout"},
            {AttemptOutcome.CONNECT_FAILED, "connect_failed"},
            {AttemptOutcome.RESET, "reset"},
            {AttemptOutcome.CANCELLED, "cancelled"},
            {AttemptOutcome.NOT_STARTED, "moot"}
        };
    }

    @Test(dataProvider = "attemptOutcomes")
    public void attemptOutcomeIsExportedAs(AttemptOutcome outcome, String value) {
        assertEquals(OutcomeAttribute.valueOf(outcome), value);
    }

    @DataProvider
    public Object[][] requestEndings() {
        return new Object[][] {
            {Tracer.Ending.SERVED, "served"},
            {Tracer.Ending.REJECTED, "refused"},
            {Tracer.Ending.FAILED, "failed"},
            {Tracer.Ending.CANCELLED, "aborted"}
        };
    }

    @Test(dataProvider = "requestEndings")
    public void requestEndingIsExportedAs(Tracer.Ending ending, String value) {
        assertEquals(OutcomeAttribute.valueOf(ending), value);
    }

    @Test
    public void tablesContainEveryConstant() {
        assertEquals(attemptOutcomes().length, AttemptOutcome.values().length);
        assertEquals(requestEndings().length, Tracer.Ending.values().length);
    }
}
