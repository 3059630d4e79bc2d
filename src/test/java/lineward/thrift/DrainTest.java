package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lineward.Program;
import lineward.operations.AdminClient;
import org.testng.annotations.Test;

/** A drain that operators start and stop. */
public class DrainTest {
    private static final int REFUSED = 1;

    @Test
    public void clientsAreSentAwayAndTakenAgain() throws IOException {
        try (Platform platform = new Platform(Map.of())) {
            AdminClient operator = new AdminClient(platform.program());
            Program.await("it is ready", operator::isReady);
            List<StandInCaller> resting = new ArrayList<>();
            for (int i = 0; i < 20; i++) {
                resting.add(platform.caller());
                assertTrue(resting.get(i).simple("ping").good());
            }
            platform.both(StandInLines.Mode.SILENT);
            StandInCaller busy = platform.caller();
            busy.send(StandInCaller.fields(2400), "select 1");
            Program.await("it runs", () -> platform.one.count("want") + platform.two.count("want") > 0);
            long start = System.nanoTime();
            assertEquals(operator.post("/ops/drain/start", "").status(), 200);
            assertFalse(operator.isReady());
            assertFalse(busy.simple("ping").good());
            for (StandInCaller caller : resting) {
                assertTrue(caller.isClosed());
            }
            long closed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            assertTrue(closed > 700 && closed < 3000, "closed over " + closed + " ms");
            Program.await("new requests are refused", () -> refuses(busy));
            Program.await("the open one is answered and its connection closed", () -> isClosed(busy));
            assertTrue(System.nanoTime() - start < TimeUnit.MILLISECONDS.toNanos(4000));
            assertTrue(platform.program().isAlive());

            platform.both(StandInLines.Mode.SERVE);
            assertEquals(operator.post("/ops/drain/stop", "").status(), 200);
            assertTrue(operator.isReady());
            try (StandInCaller again = platform.caller()) {
                assertTrue(again.simple("ping").good());
                assertEquals(again.call(StandInCaller.fields(2000), "select 1").field(), 0);
            }
        }
    }

    private static boolean refuses(StandInCaller caller) {
        try {
            int seqid = caller.send(StandInCaller.fields(1500), "select 1");
            StandInCaller.Answer answer = caller.read();
            return answer.seqid() == seqid && answer.field() == REFUSED;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static boolean isClosed(StandInCaller caller) {
        try {
            return caller.isClosed();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
