package lineward.scheduling.decision;

import static lineward.scheduling.decision.ClientEvictionPolicy.Eviction.CLOSE_OLDEST_IDLE;
import static lineward.scheduling.decision.ClientEvictionPolicy.Eviction.CLOSE_OLDEST_IDLE_GRACEFULLY;
import static lineward.scheduling.decision.ClientEvictionPolicy.Eviction.CLOSE_OLDEST_SILENT;
import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ClientEvictionPolicyTest {
    private static final int CAPACITY = 1_600;

    /** Columns: number of silent, idle and closing connections at a capacity of 1,600, expected eviction. */
    @DataProvider
    public Object[][] connections() {
        return new Object[][] {
            {401, 500, 0, CLOSE_OLDEST_SILENT},
            {400, 500, 0, CLOSE_OLDEST_IDLE_GRACEFULLY},
            {5, 0, 0, CLOSE_OLDEST_SILENT},
            {5, 1, 0, CLOSE_OLDEST_IDLE_GRACEFULLY},
            {5, 1, 99, CLOSE_OLDEST_IDLE_GRACEFULLY},
            {5, 1, 100, CLOSE_OLDEST_IDLE},
            {401, 500, 100, CLOSE_OLDEST_SILENT},
        };
    }

    @Test(dataProvider = "connections")
    public void evictsByTheConnectionsInEachState(
            int silent, int idle, int closing, ClientEvictionPolicy.Eviction eviction) {
        assertThat(ClientEvictionPolicy.selectEviction(CAPACITY, silent, idle, closing))
                .isEqualTo(eviction);
    }
}
