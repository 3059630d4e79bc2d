package lineward.scheduling.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.OptionalDouble;
import lineward.scheduling.estimation.ServiceTimeModel;
import lineward.scheduling.state.RequestClassState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Run times are multiples of the estimate. Usual runs take 1.05, which is in the bin of the survival curve
 * that ends at 2^0.2.
 */
public class SpeculativeTimeoutTest {
    private static final double USUAL_RATIO = 1.05;
    private static final double USUAL_BIN_EDGE = Math.pow(2, 0.2);
    private static final double MAX_STRAGGLER_RATIO = Math.exp(1.5);
    private static final double MIN_STRAGGLER_RATIO = Math.exp(0.75);
    private static final double NO_TIMEOUT = Double.POSITIVE_INFINITY;
    private static final double TOLERANCE = 1e-9;

    private static RequestClassState classWith(int usualRuns, int slowRuns, double slowRatio) {
        PolicyFixture policies = new PolicyFixture(new SettingsBuilder());
        RequestClassState requestClass = policies.context.requestClass(0);
        ServiceTimeModel model = requestClass.serviceTimeModel();
        for (int run = 0; run < usualRuns; run++) {
            model.updateTypicalRatio(1);
            model.addFirstRun(USUAL_RATIO, true);
        }
        for (int run = 0; run < slowRuns; run++) {
            model.addFirstRun(slowRatio, true);
        }
        model.recompute(0, List.of());
        return requestClass;
    }

    /** Columns: number of usual runs, number of slow runs, run time of a slow run, expected timeout. */
    @DataProvider
    public Object[][] runs() {
        return new Object[][] {
            {4, 0, 0, NO_TIMEOUT},
            {5, 0, 0, MAX_STRAGGLER_RATIO},
            {8, 1, 10, MIN_STRAGGLER_RATIO},
            {19, 0, 0, MAX_STRAGGLER_RATIO},
            {20, 0, 0, NO_TIMEOUT},
            {90, 10, 10, USUAL_BIN_EDGE},
            {199, 1, 3, NO_TIMEOUT},
            {90, 10, 1.5, NO_TIMEOUT},
        };
    }

    @Test(dataProvider = "runs")
    public void timeoutCostsTheLeastLoad(int usualRuns, int slowRuns, double slowRatio, double expected) {
        RequestClassState requestClass = classWith(usualRuns, slowRuns, slowRatio);
        OptionalDouble ratio = SpeculativeTimeout.timeoutRatio(requestClass, 0);
        if (expected == NO_TIMEOUT) {
            assertThat(ratio).isEmpty();
        } else {
            assertThat(ratio).hasValueCloseTo(expected, within(TOLERANCE));
        }
    }

    /**
     * One run in ten takes ten times the estimate. Columns: mean run time of relaunches, whether cancellation
     * saves load.
     */
    @DataProvider
    public Object[][] relaunches() {
        return new Object[][] {{1, true}, {8, true}, {9, false}};
    }

    @Test(dataProvider = "relaunches")
    public void cancelsNothingWhereRelaunchesAreSlow(double relaunchRatio, boolean saves) {
        RequestClassState requestClass = classWith(90, 10, 10);
        for (int run = 0; run < 5; run++) {
            requestClass.serviceTimeModel().addRelaunch(relaunchRatio, 0);
        }
        assertThat(SpeculativeTimeout.timeoutRatio(requestClass, 0).isPresent()).isEqualTo(saves);
    }
}
