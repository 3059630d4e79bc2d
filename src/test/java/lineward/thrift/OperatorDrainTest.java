package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lineward.testing.AdminClient;
import lineward.testing.EngineBehavior;
import lineward.testing.Program;
import lineward.testing.TestingClient;
import lineward.testing.TestingPlatform;
import lineward.testing.ThriftResponse;
import org.testng.annotations.Test;

/** A drain that an operator starts and stops at the admin endpoint. */
public class OperatorDrainTest {
    private static final int REJECTED = 1;

    @Test
    public void rejectsClientsDuringTheDrainAndAdmitsThemAfterwards() throws IOException {
        try (TestingPlatform platform = new TestingPlatform(Map.of())) {
            AdminClient operator = new AdminClient(platform.program());
            Program.await("the program is ready", operator::isReady);
            List<TestingClient> idleClients = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                idleClients.add(platform.client());
                assertTrue(idleClients.get(i).callMethod("ping").ok());
            }
            platform.setBehavior(EngineBehavior.NO_RESPONSE);
            TestingClient busyClient = platform.client();
            busyClient.send(TestingClient.fields(2400), "select 1");
            Program.await(
                    "the request runs",
                    () -> platform.engine1().attempts() + platform.engine2().attempts() > 0);
            long startNanos = System.nanoTime();
            assertEquals(operator.post("/ops/drain/start", "").status(), 200);
            assertFalse(operator.isReady());
            assertFalse(busyClient.callMethod("ping").ok());
            for (TestingClient caller : idleClients) {
                assertTrue(caller.isClosed());
            }
            long closedAfterMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertTrue(closedAfterMs > 700 && closedAfterMs < 3000, "closed after " + closedAfterMs + " ms");
            Program.await("new requests are rejected", () -> isNextRequestRejected(busyClient));
            Program.await("the open request ends and its connection closes", () -> isClosed(busyClient));
            assertTrue(System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(4000));
            assertTrue(platform.program().isAlive());

            platform.setBehavior(EngineBehavior.SERVE);
            assertEquals(operator.post("/ops/drain/stop", "").status(), 200);
            assertTrue(operator.isReady());
            try (TestingClient newClient = platform.client()) {
                assertTrue(newClient.callMethod("ping").ok());
                assertEquals(
                        newClient.call(TestingClient.fields(2000), "select 1").fieldId(), 0);
            }
        }
    }

    private static boolean isNextRequestRejected(TestingClient caller) {
        try {
            int seqid = caller.send(TestingClient.fields(1500), "select 1");
            ThriftResponse response = caller.read();
            return response.seqid() == seqid && response.fieldId() == REJECTED;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static boolean isClosed(TestingClient caller) {
        try {
            return caller.isClosed();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
