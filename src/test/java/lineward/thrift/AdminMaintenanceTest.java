package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lineward.testing.AdminClient;
import lineward.testing.Program;
import lineward.testing.ProgramMetrics;
import lineward.testing.SocketActivator;
import lineward.testing.TestingClient;
import lineward.testing.TestingEngine;
import lineward.testing.TestingPlatform;
import org.testng.annotations.Test;

/** Operators put an engine under maintenance and release it. */
public class AdminMaintenanceTest {
    private static final String START_MAINTENANCE = "/ops/query-engines/down";
    private static final String END_MAINTENANCE = "/ops/query-engines/up";

    private static void assertServes(TestingPlatform platform, int requestCount) throws IOException {
        try (TestingClient caller = platform.client()) {
            for (int i = 0; i < requestCount; i++) {
                assertEquals(caller.call(TestingClient.fields(2000), "select 1").fieldId(), 0);
            }
        }
    }

    @Test
    public void keepsAnEngineOutOfRotationUntilItIsReleased() throws IOException {
        try (TestingPlatform platform = new TestingPlatform(Map.of())) {
            AdminClient operator = new AdminClient(platform.program());
            Program.await("the program is ready", operator::isReady);
            assertServes(platform, 30);
            boolean firstIsUsed = platform.engine1().attempts() > 0;
            TestingEngine usedEngine = firstIsUsed ? platform.engine1() : platform.engine2();
            String id = firstIsUsed ? "s-1" : "s-2";
            assertEquals(operator.post(START_MAINTENANCE, "s-3").status(), 404);
            assertEquals(operator.post(END_MAINTENANCE, "s-3").status(), 404);
            assertEquals(operator.post(START_MAINTENANCE, "").status(), 404);
            assertEquals(operator.post(START_MAINTENANCE, id).status(), 200);
            assertEquals(operator.post(START_MAINTENANCE, id + "\n").status(), 200);
            long attemptsBefore = usedEngine.attempts();
            assertTrue(attemptsBefore > 0, "the engine was used");
            assertServes(platform, 30);
            assertEquals((int) ProgramMetrics.read(platform.program()).get("edge_relay_out_of_rotation"), 1);
            for (String state : new String[] {"gone", "ready"}) {
                platform.discovery().publish(false, id, "" + usedEngine.port(), state);
                long polls = platform.discovery().polls();
                Program.await(
                        "the event has been received",
                        () -> platform.discovery().polls() > polls + 1);
                assertServes(platform, 30);
            }
            assertEquals(usedEngine.attempts(), attemptsBefore);
            assertEquals(operator.post(END_MAINTENANCE, id).status(), 200);
            long releasedNanos = System.nanoTime();
            assertServes(platform, 1);
            assertEquals(usedEngine.attempts(), attemptsBefore + 1, "the released engine serves it");
            assertTrue(System.nanoTime() - releasedNanos < TimeUnit.SECONDS.toNanos(5));
            assertEquals((int) ProgramMetrics.read(platform.program()).get("edge_relay_out_of_rotation"), 0);
        }
    }

    @Test
    public void bothProcessesOfAHotRestartShareMaintenanceOrders() throws IOException {
        try (SocketActivator activator = new SocketActivator();
                TestingPlatform platform = new TestingPlatform(Map.of(), activator)) {
            AdminClient oldAdmin = new AdminClient(platform.program());
            Program.await("the program is ready", oldAdmin::isReady);
            assertEquals(oldAdmin.post(START_MAINTENANCE, "s-1").status(), 200);
            try (Program next = platform.startOnSharedSocket()) {
                AdminClient newAdmin = new AdminClient(next);
                Program.await("the new process is ready", newAdmin::isReady);
                assertTrue(next.log().contains("engine maintenance started: engine=s-1"), next.log());
                assertEquals(newAdmin.post(START_MAINTENANCE, "s-2").status(), 200);
                assertEquals(newAdmin.post(END_MAINTENANCE, "s-1").status(), 200);
                Program.await(
                        "the old process has read the orders",
                        () -> platform.program().log().contains("engine maintenance started: engine=s-2")
                                && platform.program().log().contains("engine maintenance ended: engine=s-1"));
                platform.program().sendSigterm();
                Program.await("the old process exits", () -> !platform.program().isAlive());
                assertServes(platform, 20);
                assertEquals(platform.engine2().attempts(), 0);
                assertEquals(platform.engine1().attempts(), 20);
            }
        }
    }
}
