package lineward.scheduling.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Optional;
import lineward.scheduling.EngineKind;
import lineward.scheduling.MemoryShortageHandling;
import lineward.scheduling.RequestClass;
import lineward.scheduling.SchedulerAction;
import lineward.scheduling.SchedulerAction.SetResourceLimits;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.RequestClassState;
import lineward.scheduling.state.ScheduledRequest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ResourceLimitsTest {
    private static final double TOLERANCE = 1e-9;
    private static final double NO_WORK = 0;

    private static SetResourceLimits limits(PolicyFixture policies, ScheduledRequest request) {
        Optional<SchedulerAction> limits = policies.resources.limitsFor(request, policies.listEngine(1));
        return (SetResourceLimits) limits.orElseThrow();
    }

    /** Columns: whether engines support grants, whether they support priorities, whether limits are sent. */
    @DataProvider
    public Object[][] capabilities() {
        return new Object[][] {
            {true, true, true},
            {true, false, true},
            {false, true, true},
            {false, false, false},
        };
    }

    @Test(dataProvider = "capabilities")
    public void sendsLimitsIfEnginesSupportThem(boolean grants, boolean priorities, boolean sent) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.grants = grants;
        settings.priorities = priorities;
        PolicyFixture policies = new PolicyFixture(settings);
        Engine engine = policies.listEngine(1);
        assertThat(policies.resources.limitsFor(policies.admit(), engine).isPresent())
                .isEqualTo(sent);
    }

    /**
     * Columns: whether engines support grants and what they do if memory is short; in MB, the memory of the
     * engine, the estimate of the request, the grant that must be sent, and the memory that other policies
     * must count as granted.
     */
    @DataProvider
    public Object[][] grants() {
        return new Object[][] {
            {true, MemoryShortageHandling.WAIT, 16_000, 1_000, 1_250, 1_250},
            {true, MemoryShortageHandling.WAIT, 16_000, 5_120, 6_400, 6_400},
            {true, MemoryShortageHandling.WAIT, 16_000, 9_000, 6_400, 6_400},
            {true, MemoryShortageHandling.WAIT, 0, 9_000, 11_250, 11_250},
            {true, MemoryShortageHandling.PAGE, 16_000, 1_000, 6_400, 1_250},
            {false, MemoryShortageHandling.WAIT, 16_000, 1_000, 0, 1_250},
        };
    }

    @Test(dataProvider = "grants")
    public void grantsExpectedMemoryUpToTheEngineLimit(
            boolean grants,
            MemoryShortageHandling shortage,
            double engineMb,
            double estimateMb,
            double grantMb,
            double countedMb) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.grants = grants;
        settings.memoryShortage = shortage;
        settings.engineKind = new EngineKind(8, engineMb);
        PolicyFixture policies = new PolicyFixture(settings);
        ScheduledRequest request = policies.admit(0, PolicyFixture.NO_KEY, 200, estimateMb);
        assertThat(limits(policies, request).grantMb()).isEqualTo(grantMb);
        assertThat(policies.resources.expectedMemoryMb(request, policies.listEngine(1)))
                .isEqualTo(countedMb);
    }

    /**
     * The estimated work of the request is 200 ms. Columns: mean work of the class in ms, age of the request
     * in ms, whether it is relaunched, whether it loads a table group, expected priority.
     */
    @DataProvider
    public Object[][] priorities() {
        return new Object[][] {
            {NO_WORK, 0, false, false, 1},
            {600, 0, false, false, 1},
            {700, 0, false, false, 3},
            {700, 1_000, false, false, 3},
            {700, 1_001, false, false, 0},
            {600, 0, true, false, 2},
            {600, 0, false, true, 2},
            {700, 0, true, true, 3},
            {600, 1_001, true, true, 0},
        };
    }

    @Test(dataProvider = "priorities")
    public void ranksShortWorkFirstAndOverdueWorkLast(
            double meanWorkMs, double ageMs, boolean relaunched, boolean load, int priority) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.workload = new RequestClass.ExecutionProfile(load, false, 1);
        PolicyFixture policies = new PolicyFixture(settings);
        if (meanWorkMs > NO_WORK) {
            policies.context.requestClass(0).serviceTimeModel().addWork(meanWorkMs, PolicyFixture.START_MS);
        }
        ScheduledRequest request = policies.admit();
        if (relaunched) {
            policies.cancelAndRequeue(policies.start(request, policies.listEngine(2)));
        }
        policies.advance(ageMs);
        assertThat(limits(policies, request).priority()).isEqualTo(priority);
    }

    /**
     * Columns: grant factor, need as a multiple of the estimate, expected grant factor after that need,
     * expected grant factor after a spill.
     */
    @DataProvider
    public Object[][] needs() {
        return new Object[][] {
            {1.25, 1.3, 1.25 * 1.0294, 1.25 * 1.02},
            {1.25, 1.25, 1.25 * 0.9994, 1.25 * 1.02},
            {1.25, 1.0, 1.25 * 0.9994, 1.25 * 1.02},
            {2.99, 1.0, 2.99 * 0.9994, 3},
        };
    }

    @Test(dataProvider = "needs")
    public void learnsTheGrantFactor(double before, double need, double afterNeed, double afterSpill) {
        PolicyFixture policies = new PolicyFixture(new SettingsBuilder());
        RequestClassState requestClass = policies.context.requestClass(0);
        requestClass.setGrantFactor(before);
        policies.resources.recordNeed(requestClass, need);
        assertThat(requestClass.grantFactor()).isCloseTo(afterNeed, within(TOLERANCE));
        requestClass.setGrantFactor(before);
        policies.resources.recordSpill(requestClass);
        assertThat(requestClass.grantFactor()).isCloseTo(afterSpill, within(TOLERANCE));
    }
}
