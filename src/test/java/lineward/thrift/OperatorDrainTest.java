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
import lineward.testing.Answer;
import lineward.testing.EngineBehavior;
import lineward.testing.Program;
import lineward.testing.TestingClient;
import lineward.testing.TestingPlatform;
import org.testng.annotations.Test;

/** A drain that an operator starts and stops at the admin endpoint. */
public class OperatorDrainTest {
    private static final int REJECTED = 1;

    @Test
    public void rejectsClientsDuringTheDrainAndAdmitsThemAfterwards() throws IOException {
        try (TestingPlatform platform = new TestingPlatform(Map.of())) {
            AdminClient operator = new AdminClient(platform.program());
            Program.await("the program is ready", operator::isReady);
            List<TestingClient> resting = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                resting.add(platform.client());
                assertTrue(resting.get(i).callMethod("ping").good());
            }
            platform.setBehavior(EngineBehavior.NO_RESPONSE);
            TestingClient busy = platform.client();
            busy.send(TestingClient.fields(2400), "select 1");
            Program.await(
                    "the request runs",
                    () -> platform.engine1().attempts() + platform.engine2().attempts() > 0);
            long start = System.nanoTime();
            assertEquals(operator.post("/ops/drain/start", "").status(), 200);
            assertFalse(operator.isReady());
            assertFalse(busy.callMethod("ping").good());
            for (TestingClient caller : resting) {
                assertTrue(caller.isClosed());
            }
            long closed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            assertTrue(closed > 700 && closed < 3000, "closed after " + closed + " ms");
            Program.await("new requests are rejected", () -> refuses(busy));
            Program.await("the open request ends and its connection closes", () -> isClosed(busy));
            assertTrue(System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(4000));
            assertTrue(platform.program().isAlive());

            platform.setBehavior(EngineBehavior.SERVE);
            assertEquals(operator.post("/ops/drain/stop", "").status(), 200);
            assertTrue(operator.isReady());
            try (TestingClient again = platform.client()) {
                assertTrue(again.callMethod("ping").good());
                assertEquals(again.call(TestingClient.fields(2000), "select 1").field(), 0);
            }
        }
    }

    private static boolean refuses(TestingClient caller) {
        try {
            int seqid = caller.send(TestingClient.fields(1500), "select 1");
            Answer answer = caller.read();
            return answer.seqid() == seqid && answer.field() == REJECTED;
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
