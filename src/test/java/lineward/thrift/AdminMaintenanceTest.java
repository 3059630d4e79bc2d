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
    private static final String DOWN = "/ops/query-engines/down";
    private static final String UP = "/ops/query-engines/up";

    private static void serve(TestingPlatform platform, int many) throws IOException {
        try (TestingClient caller = platform.client()) {
            for (int i = 0; i < many; i++) {
                assertEquals(caller.call(TestingClient.fields(2000), "select 1").field(), 0);
            }
        }
    }

    @Test
    public void keepsAnEngineOutOfRotationUntilItIsReleased() throws IOException {
        try (TestingPlatform platform = new TestingPlatform(Map.of())) {
            AdminClient operator = new AdminClient(platform.program());
            Program.await("the program is ready", operator::isReady);
            serve(platform, 30);
            boolean first = platform.engine1().attempts() > 0;
            TestingEngine used = first ? platform.engine1() : platform.engine2();
            String id = first ? "s-1" : "s-2";
            assertEquals(operator.post(DOWN, "s-3").status(), 404);
            assertEquals(operator.post(UP, "s-3").status(), 404);
            assertEquals(operator.post(DOWN, "").status(), 404);
            assertEquals(operator.post(DOWN, id).status(), 200);
            assertEquals(operator.post(DOWN, id + "\n").status(), 200);
            long before = used.attempts();
            assertTrue(before > 0, "the engine was used");
            serve(platform, 30);
            assertEquals((int) ProgramMetrics.read(platform.program()).get("edge_relay_out_of_rotation"), 1);
            for (String state : new String[] {"gone", "ready"}) {
                platform.discovery().publish(false, id, "" + used.port(), state);
                long polls = platform.discovery().polls();
                Program.await(
                        "the event has been received",
                        () -> platform.discovery().polls() > polls + 1);
                serve(platform, 30);
            }
            assertEquals(used.attempts(), before);
            assertEquals(operator.post(UP, id).status(), 200);
            long start = System.nanoTime();
            serve(platform, 1);
            assertEquals(used.attempts(), before + 1, "the released engine serves it");
            assertTrue(System.nanoTime() - start < TimeUnit.SECONDS.toNanos(5));
            assertEquals((int) ProgramMetrics.read(platform.program()).get("edge_relay_out_of_rotation"), 0);
        }
    }

    @Test
    public void bothProcessesOfAHotRestartShareMaintenanceOrders() throws IOException {
        try (SocketActivator holder = new SocketActivator();
                TestingPlatform platform = new TestingPlatform(Map.of(), holder)) {
            AdminClient old = new AdminClient(platform.program());
            Program.await("the program is ready", old::isReady);
            assertEquals(old.post(DOWN, "s-1").status(), 200);
            try (Program next = platform.startOnSharedSocket()) {
                AdminClient operator = new AdminClient(next);
                Program.await("the new process is ready", operator::isReady);
                assertTrue(next.log().contains("engine maintenance started: engine=s-1"), next.log());
                assertEquals(operator.post(DOWN, "s-2").status(), 200);
                assertEquals(operator.post(UP, "s-1").status(), 200);
                Program.await(
                        "the old process has read the orders",
                        () -> platform.program().log().contains("engine maintenance started: engine=s-2")
                                && platform.program().log().contains("engine maintenance ended: engine=s-1"));
                platform.program().sendSigterm();
                Program.await("the old process exits", () -> !platform.program().isAlive());
                serve(platform, 20);
                assertEquals(platform.engine2().attempts(), 0);
                assertEquals(platform.engine1().attempts(), 20);
            }
        }
    }
}
