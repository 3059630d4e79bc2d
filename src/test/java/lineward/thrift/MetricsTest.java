package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Map;
import lineward.testing.EngineBehavior;
import lineward.testing.Program;
import lineward.testing.ProgramMetrics;
import lineward.testing.RequestFields;
import lineward.testing.TestingClient;
import lineward.testing.TestingPlatform;
import org.testng.annotations.Test;

/** The metrics agree with what clients and engines have observed. */
public class MetricsTest {
    private static final String REQUESTS = "edge_relay_operations_total{priority=\"look\",status=";

    @Test
    public void metricsAgreeWithClientsAndEngines() throws IOException {
        try (TestingPlatform platform = new TestingPlatform(Map.of());
                TestingClient caller = platform.client()) {
            int[] counts = new int[3];
            EngineBehavior[] behaviors = {
                EngineBehavior.SERVE,
                EngineBehavior.ERROR,
                EngineBehavior.REJECT,
                EngineBehavior.RESET,
                EngineBehavior.SERVE
            };
            for (int i = 0; i < 100; i++) {
                platform.engine1().setBehavior(behaviors[i / 20]);
                counts[
                        caller.call(TestingClient.fields(i % 10 == 0 ? 30 : 2000), "select 1")
                                .fieldId()]++;
            }
            Map<String, String> invalidFields = TestingClient.fields(1000);
            invalidFields.put(RequestFields.TENANT, "nobody");
            caller.call(invalidFields, "select 1");
            Map<String, Integer> metrics = ProgramMetrics.read(platform.program());
            assertEquals((int) metrics.get(REQUESTS + "\"" + ProgramMetrics.SERVED + "\"}"), counts[0]);
            assertEquals((int) metrics.get(REQUESTS + "\"" + ProgramMetrics.REJECTED + "\"}"), counts[1]);
            assertEquals((int) metrics.get(REQUESTS + "\"" + ProgramMetrics.FAILED + "\"}"), counts[2] + 1);
            assertTrue(counts[0] > 50 && counts[1] >= 10, "some are served and some rejected");
            long attempts = platform.engine1().attempts() + platform.engine2().attempts();
            assertTrue(attempts > counts[0], "some were retried");
            assertEquals((int) metrics.get("edge_relay_relayed_total"), attempts);
            assertEquals((int) metrics.get("edge_relay_open_requests"), 0);
            assertEquals((int) metrics.get("edge_relay_registry_entries"), 2);
            assertTrue(metrics.get("edge_relay_list_age_ms") < 2000);
        }
    }

    @Test
    public void showsOpenRequestsAndEjectedEngines() throws IOException {
        try (TestingPlatform platform = new TestingPlatform(Map.of());
                TestingClient caller = platform.client()) {
            platform.setBehavior(EngineBehavior.NO_RESPONSE);
            for (int i = 0; i < 3; i++) {
                caller.send(TestingClient.fields(2000), "select 1");
            }
            Program.await(
                    "the requests run",
                    () -> platform.engine1().attempts() + platform.engine2().attempts() == 3);
            assertEquals((int) ProgramMetrics.read(platform.program()).get("edge_relay_open_requests"), 3);
            platform.engine1().close();
            platform.engine2().setBehavior(EngineBehavior.SERVE);
            Program.await("the closed engine is ejected", () -> {
                try {
                    caller.call(TestingClient.fields(2000), "select 1");
                    return ProgramMetrics.read(platform.program()).get("edge_relay_out_of_rotation") == 1;
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            platform.discovery().publish(false, "s-1", "" + platform.engine1().port(), "gone");
            Program.await("the engine is not listed", () -> {
                try {
                    Map<String, Integer> metrics = ProgramMetrics.read(platform.program());
                    int outOfRotation = metrics.get("edge_relay_out_of_rotation");
                    return metrics.get("edge_relay_registry_entries") == 1 && outOfRotation == 0;
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
        }
    }
}
