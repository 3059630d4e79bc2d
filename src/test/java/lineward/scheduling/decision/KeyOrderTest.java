package lineward.scheduling.decision;

import static org.assertj.core.api.Assertions.assertThat;

import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.state.ScheduledRequest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class KeyOrderTest {
    private static final long KEY = 77;
    private static final long OTHER_KEY = 78;
    private static final double SETTLE_MS = 500;

    private static PolicyFixture policies(boolean inOrder) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.inOrder = inOrder;
        settings.settleMs = SETTLE_MS;
        return new PolicyFixture(settings);
    }

    /** Columns: whether the class runs in order, keys of two requests, whether the second one may start. */
    @DataProvider
    public Object[][] keys() {
        return new Object[][] {
            {true, KEY, KEY, false},
            {true, KEY, OTHER_KEY, true},
            {true, PolicyFixture.NO_KEY, PolicyFixture.NO_KEY, true},
            {false, KEY, KEY, true},
        };
    }

    @Test(dataProvider = "keys")
    public void runsAKeyInOrderOfArrival(boolean inOrder, long firstKey, long secondKey, boolean mayStart) {
        PolicyFixture policies = policies(inOrder);
        ScheduledRequest first = policies.admit(firstKey, PolicyFixture.WORK_MS);
        ScheduledRequest second = policies.admit(secondKey, PolicyFixture.WORK_MS);
        assertThat(policies.keyOrder.isNext(first)).isTrue();
        assertThat(policies.keyOrder.isNext(second)).isEqualTo(mayStart);
        policies.keyOrder.remove(first);
        assertThat(policies.keyOrder.isNext(second)).isTrue();
    }

    /**
     * Columns: whether the outcome of a request is indeterminate, key of the next request, time in ms since
     * the outcome, whether the next request may start.
     */
    @DataProvider
    public Object[][] settleTimes() {
        return new Object[][] {
            {true, KEY, 0, false},
            {true, KEY, SETTLE_MS - 1, false},
            {true, KEY, SETTLE_MS, true},
            {true, OTHER_KEY, 0, true},
            {false, KEY, 0, true},
        };
    }

    @Test(dataProvider = "settleTimes")
    public void waitsForTheSettleTimeAfterAnIndeterminateOutcome(
            boolean indeterminate, long secondKey, double sinceMs, boolean mayStart) {
        PolicyFixture policies = policies(true);
        ScheduledRequest first = policies.admit(KEY, PolicyFixture.WORK_MS);
        ScheduledRequest second = policies.admit(secondKey, PolicyFixture.WORK_MS);
        if (indeterminate) {
            policies.keyOrder.startSettleTime(first);
        }
        policies.keyOrder.remove(first);
        policies.advance(sinceMs);
        policies.keyOrder.removeSettledKeys();
        assertThat(policies.keyOrder.isNext(second)).isEqualTo(mayStart);
    }

    @Test
    public void retriesTheRequestWhoseOutcomeWasIndeterminateAtOnce() {
        PolicyFixture policies = policies(true);
        ScheduledRequest request = policies.admit(KEY, PolicyFixture.WORK_MS);
        policies.endAndRequeue(policies.start(request, policies.listEngine(1)), AttemptOutcome.TIMEOUT);
        policies.keyOrder.startSettleTime(request);
        assertThat(policies.keyOrder.isNext(request)).isTrue();
    }

    @Test
    public void waitsForTheLaterOfTwoSettleTimes() {
        PolicyFixture policies = policies(true);
        ScheduledRequest first = policies.admit(KEY, PolicyFixture.WORK_MS);
        policies.keyOrder.startSettleTime(first);
        policies.advance(SETTLE_MS - 1);
        policies.keyOrder.startSettleTime(first);
        policies.keyOrder.remove(first);
        policies.advance(SETTLE_MS - 1);
        assertThat(policies.keyOrder.isNext(policies.admit(KEY, PolicyFixture.WORK_MS)))
                .isFalse();
    }
}
