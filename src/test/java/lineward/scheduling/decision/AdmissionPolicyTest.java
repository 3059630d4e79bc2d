package lineward.scheduling.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import lineward.scheduling.RequestClass;
import lineward.scheduling.state.ScheduledRequest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A request's objective is 1,000 ms plus its work after admission, and its deadline 5,000 ms. */
public class AdmissionPolicyTest {
    private static final double TOLERANCE = 1e-12;

    private static PolicyFixture policies(double priorityWeight, double overdueValueRatio) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.objective = new RequestClass.Objective(1_000, 1, 5_000, priorityWeight, overdueValueRatio);
        return new PolicyFixture(settings);
    }

    /**
     * Columns: priority weight, overdue value ratio, whether relaunched, work in ms, age in ms, expected
     * priority.
     */
    @DataProvider
    public Object[][] priorities() {
        return new Object[][] {
            {1, 0, false, 200, 0, 1.0 / 200},
            {3, 0, false, 200, 0, 3.0 / 200},
            {1, 0, false, 400, 0, 1.0 / 400},
            {1, 0, true, 200, 0, 2.0 / 200},
            {1, 0, false, 200, 600, 2.0 / 200},
            {1, 0, false, 200, 1_000, (1 + 2 * 1_000.0 / 1_200) / 200},
            {1, 0, false, 200, 1_001, 0},
            {1, 0.5, false, 200, 1_001, 0.5 / 200},
            {3, 0.5, true, 200, 1_001, 3.0 / 200},
        };
    }

    @Test(dataProvider = "priorities")
    public void ordersByValuePerWorkAndUrgency(
            double weight, double lateRatio, boolean relaunched, double workMs, double ageMs, double value) {
        PolicyFixture policies = policies(weight, lateRatio);
        ScheduledRequest request = policies.admit(PolicyFixture.NO_KEY, workMs);
        if (relaunched) {
            policies.cancelAndRequeue(policies.start(request, policies.listEngine(1)));
        }
        policies.advance(ageMs);
        double priority = new AdmissionPolicy(policies.context).dispatchPriority(request);
        assertThat(priority).isCloseTo(value, within(TOLERANCE));
    }

    /**
     * Columns: overdue value ratio, work in ms, slowdown of the class, age in ms, whether the request cannot
     * be in time.
     */
    @DataProvider
    public Object[][] ages() {
        return new Object[][] {
            {0, 200, 1, 0, false},
            {0, 200, 1, 1_040, false},
            {0, 200, 1, 1_041, true},
            {0, 200, 4, 880, false},
            {0, 200, 4, 881, true},
            {0.5, 200, 1, 1_041, false},
            {0.5, 200, 1, 4_840, false},
            {0.5, 200, 1, 4_841, true},
            {0.5, 10, 1, 4_940, false},
            {0.5, 10, 1, 4_941, true},
        };
    }

    @Test(dataProvider = "ages")
    public void detectsRequestsThatCannotBeInTime(
            double overdueValueRatio, double workMs, double slowdown, double ageMs, boolean unanswerable) {
        PolicyFixture policies = policies(1, overdueValueRatio);
        ScheduledRequest request = policies.admit(PolicyFixture.NO_KEY, workMs);
        policies.advance(ageMs);
        policies.addSlowRuns(slowdown);
        assertThat(new AdmissionPolicy(policies.context).cannotBeInTime(request))
                .isEqualTo(unanswerable);
    }
}
