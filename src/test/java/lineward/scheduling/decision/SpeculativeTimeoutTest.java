package lineward.scheduling.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import java.util.OptionalDouble;
import lineward.scheduling.estimation.ServiceTimeModel;
import lineward.scheduling.state.ClassState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Run times are multiples of the estimate. Usual runs take 1.05, which is in the bin of the survival curve
 * that ends at 2^0.2.
 */
public class SpeculativeTimeoutTest {
    private static final double USUAL = 1.05;
    private static final double USUAL_BIN_EDGE = Math.pow(2, 0.2);
    private static final double STRAGGLER = Math.exp(1.5);
    private static final double LEAST_STRAGGLER = Math.exp(0.75);
    private static final double NEVER = Double.POSITIVE_INFINITY;
    private static final double ROUNDING = 1e-9;

    private static ClassState classWith(int usualRuns, int slowRuns, double slowRatio) {
        TestingPolicies policies = new TestingPolicies(new TestingSettings());
        ClassState type = policies.context.requestClass(0);
        ServiceTimeModel model = type.model();
        for (int run = 0; run < usualRuns; run++) {
            model.updateTypicalRatio(1);
            model.addFirstRun(USUAL, true);
        }
        for (int run = 0; run < slowRuns; run++) {
            model.addFirstRun(slowRatio, true);
        }
        model.recompute(0, List.of());
        return type;
    }

    /** Columns: number of usual runs, number of slow runs, run time of a slow run, expected timeout. */
    @DataProvider
    public Object[][] runs() {
        return new Object[][] {
            {4, 0, 0, NEVER},
            {5, 0, 0, STRAGGLER},
            {8, 1, 10, LEAST_STRAGGLER},
            {19, 0, 0, STRAGGLER},
            {20, 0, 0, NEVER},
            {90, 10, 10, USUAL_BIN_EDGE},
            {199, 1, 3, NEVER},
            {90, 10, 1.5, NEVER},
        };
    }

    @Test(dataProvider = "runs")
    public void tauCostsTheLeastLoad(int usualRuns, int slowRuns, double slowRatio, double tau) {
        ClassState type = classWith(usualRuns, slowRuns, slowRatio);
        OptionalDouble ratio = SpeculativeTimeout.tauRatio(type, 0);
        if (tau == NEVER) {
            assertThat(ratio).isEmpty();
        } else {
            assertThat(ratio).hasValueCloseTo(tau, within(ROUNDING));
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
        ClassState type = classWith(90, 10, 10);
        for (int run = 0; run < 5; run++) {
            type.model().addRelaunch(relaunchRatio, 0);
        }
        assertThat(SpeculativeTimeout.tauRatio(type, 0).isPresent()).isEqualTo(saves);
    }
}
