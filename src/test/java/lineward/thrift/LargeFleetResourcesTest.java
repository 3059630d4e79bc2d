package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import lineward.testing.AdminClient;
import lineward.testing.Program;
import lineward.testing.ProgramMetrics;
import lineward.testing.TestingClient;
import lineward.testing.TestingPlatform;
import lineward.testing.TestingServiceDiscovery;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The program in a fleet of many front ends and engines, within the resource limits of a small one. */
public class LargeFleetResourcesTest {
    private static final String JVM_OPTIONS = "-Xmx64m -Xss512k -XX:MaxMetaspaceSize=48m";
    private static final int DESCRIPTORS = 128;
    private static final int MAX_MEMORY_MB = 192;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{120, 300}, {1024, 1024}};
    }

    /** There are more engines than allowed connections: idle connections are closed in favor of new ones. */
    @Test(dataProvider = "fleets")
    public void servesALargeFleetAndAppliesItsUpdates(int frontEnds, int engines) throws Exception {
        Map<String, String> variables = Map.of("JAVA_TOOL_OPTIONS", JVM_OPTIONS);
        try (TestingPlatform platform = new TestingPlatform(variables, null, frontEnds, engines, DESCRIPTORS);
                TestingClient caller = platform.client();
                TestingServiceDiscovery newDiscovery = new TestingServiceDiscovery()) {
            Program program = platform.program();
            for (int i = 1; i <= 2 * DESCRIPTORS; i++) {
                assertEquals(caller.call(TestingClient.fields(2000), "select 1").fieldId(), 0, "no. " + i);
            }
            // A few attempts are cancelled and relaunched.
            int attempts = ProgramMetrics.read(program).get("edge_relay_relayed_total");
            assertTrue(attempts <= 2 * DESCRIPTORS * 1.05, attempts + " attempts: too many relaunches");
            assertTrue(program.descriptors() <= DESCRIPTORS, program.descriptors() + " descriptors");
            assertTrue(program.memoryMb() <= MAX_MEMORY_MB, program.memoryMb() + " MB");
            platform.discovery().publish(false, platform.endpoints(1, engines / 2, "gone"));
            awaitEngines(program, engines - engines / 2);
            for (int i = engines / 2 + 1; i <= engines; i++) {
                assertEquals(
                        new AdminClient(program)
                                .post("/ops/query-engines/down", "s-" + i)
                                .status(),
                        200);
            }
            int outOfRotation = ProgramMetrics.read(program).get("edge_relay_out_of_rotation");
            assertEquals(outOfRotation, engines - engines / 2);
            newDiscovery.publish(true);
            newDiscovery.publish(true);
            newDiscovery.publish(true, platform.endpoints(engines + 1, 2 * engines, "ready"));
            platform.configure(newDiscovery);
            program.sendSighup();
            awaitEngines(program, engines);
            assertEquals(caller.call(TestingClient.fields(2000), "select 1").fieldId(), 0, "after reload");
        }
    }

    private static void awaitEngines(Program program, int count) {
        Program.await(count + " engines on the list", () -> {
            try {
                return ProgramMetrics.read(program).get("edge_relay_registry_entries") == count;
            } catch (java.io.IOException e) {
                throw new AssertionError(e);
            }
        });
    }
}
