package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lineward.Program;
import lineward.SocketHolder;
import lineward.operations.AdminClient;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A new process takes over from the old one at a socket that both inherit. */
public class UpgradeTest {
    private static final int SERVED = 0;
    private SocketHolder holder;
    private Platform platform;
    private Program next;
    private AdminClient operator;

    @BeforeMethod
    public void start() throws IOException {
        holder = new SocketHolder();
        platform = new Platform(Map.of(), holder);
        next = platform.again();
        operator = new AdminClient(next);
        Program.await("the new one is ready", operator::isReady);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        next.close();
        platform.close();
        holder.close();
    }

    private static boolean serves(StandInCaller caller) throws IOException {
        return caller.call(StandInCaller.fields(2000), "select 1").field() == SERVED;
    }

    @Test
    public void everyRequestIsServedWhileTheOldProcessLeaves() throws IOException {
        List<StandInCaller> kept = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            kept.add(platform.caller());
            assertTrue(serves(kept.get(i)));
        }
        int before = FiguresTest.figures(next).get("edge_relay_relayed_total");
        platform.program.terminate();
        Program.await("it has heard", () -> platform.program.log().contains("SIGTERM"));
        for (StandInCaller caller : kept) {
            assertTrue(serves(caller), "a kept connection is served on");
        }
        for (int i = 0; i < 20; i++) {
            try (StandInCaller caller = platform.caller()) {
                assertTrue(serves(caller), "a new connection is served");
            }
        }
        assertTrue(
                FiguresTest.figures(next).get("edge_relay_relayed_total") >= before + 20,
                "new connections go to the new process");
        Program.await("the old one ends", () -> !platform.program.isAlive());
        assertFalse(platform.program.log().contains("rror"), platform.program.log());
        for (StandInCaller caller : kept) {
            caller.close();
        }
        assertTrue(next.isAlive());
        assertTrue(operator.isReady());
    }

    @Test
    public void aClientThatNeverRestsHoldsNoOldProcessUp() throws IOException {
        platform.both(StandInLines.Mode.SILENT);
        StandInCaller caller = platform.caller();
        Set<Integer> open = new HashSet<>();
        for (int i = 0; i < 5; i++) {
            open.add(caller.send(StandInCaller.fields(9000), "select 1"));
        }
        Program.await("they run", () -> platform.one.count("want") + platform.two.count("want") >= 5);
        boolean nextHasRequests = FiguresTest.figures(next).get("edge_relay_open_requests") > 0;
        Program first = nextHasRequests ? next : platform.program;
        first.terminate();
        int answered = 0;
        try {
            while (true) {
                assertTrue(open.remove(caller.read().seqid()));
                answered++;
                open.add(caller.send(StandInCaller.fields(9000), "select 1"));
            }
        } catch (EOFException | SocketException e) {
            // Closed when nothing was open any more.
        }
        assertTrue(answered >= 5, "all that ran were answered");
        Program.await("it ends", () -> !first.isAlive());
        assertTrue(first.log().contains("all is answered"), first.log());
    }

    @Test
    public void anAcceptThatFindsNothingHoldsNobodyUp() throws IOException {
        holder.makeBlocking();
        for (int i = 0; i < 200; i++) {
            try (StandInCaller caller = platform.caller()) {
                assertTrue(caller.simple("ping").good());
            }
        }
        assertTrue(operator.isReady());
        assertTrue(new AdminClient(platform.program).isReady());
        assertEquals(FiguresTest.figures(next).get("edge_relay_open_requests"), (Integer) 0);
    }
}
