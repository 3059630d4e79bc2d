package lineward.scheduling.decision;

import static lineward.scheduling.decision.ServerAdmissionPolicy.Phase.DRAINING;
import static lineward.scheduling.decision.ServerAdmissionPolicy.Phase.OPEN;
import static lineward.scheduling.decision.ServerAdmissionPolicy.Phase.REJECTING;
import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ServerAdmissionPolicyTest {
    private static final long MAX_STATEMENT_BYTES = 1_000;

    /** Columns: phase, whether clients should use this front end, whether requests are admitted. */
    @DataProvider
    public Object[][] phases() {
        return new Object[][] {{OPEN, true, true}, {DRAINING, false, true}, {REJECTING, false, false}};
    }

    @Test(dataProvider = "phases")
    public void admitsByPhase(ServerAdmissionPolicy.Phase phase, boolean acceptsClients, boolean admits) {
        ServerAdmissionPolicy policy = new ServerAdmissionPolicy(MAX_STATEMENT_BYTES);
        assertThat(policy.phase()).isEqualTo(OPEN);
        policy.setPhase(phase);
        assertThat(policy.phase()).isEqualTo(phase);
        assertThat(policy.isRecommendedToClients()).isEqualTo(acceptsClients);
        assertThat(policy.admitsRequests()).isEqualTo(admits);
        assertThat(policy.mayAdmit(1)).isEqualTo(admits);
    }

    /**
     * Columns: bytes of the statements admitted so far, bytes of those that are completed, bytes of the next
     * statement, whether it is admitted.
     */
    @DataProvider
    public Object[][] statements() {
        return new Object[][] {
            {0, 0, 1_000, true},
            {0, 0, 1_001, false},
            {900, 0, 100, true},
            {900, 0, 101, false},
            {900, 900, 1_000, true},
            {900, 400, 501, false},
        };
    }

    @Test(dataProvider = "statements")
    public void boundsTheBytesOfAllStatements(long admitted, long completed, long next, boolean mayAdmit) {
        ServerAdmissionPolicy policy = new ServerAdmissionPolicy(MAX_STATEMENT_BYTES);
        policy.recordAdmitted(admitted);
        policy.recordCompleted(completed);
        assertThat(policy.mayAdmit(next)).isEqualTo(mayAdmit);
    }
}
