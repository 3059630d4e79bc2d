package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import lineward.Program;
import lineward.thrift.StandInLines.Mode;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A client that closed, reset its connection or cancelled is gone: no attempt begins for it any more. */
public class ClientGoneTest {
    private static final int SERVED = 0;
    private static final int MOST_OPEN = 32;

    /** How it goes. */
    private enum Going {
        FIN,
        RESET,
        ABORT
    }

    private Platform platform;

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        platform.close();
    }

    @DataProvider
    public Object[][] goings() {
        return new Object[][] {{Going.FIN}, {Going.RESET}, {Going.ABORT}};
    }

    /** The client goes, and the front has taken a turn since: another client's ping is answered. */
    private void go(StandInCaller client, int seqid, Going how) throws IOException {
        Socket socket = client.socket;
        switch (how) {
            case FIN -> socket.shutdownOutput();
            case RESET -> {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            default -> client.abort(seqid);
        }
        try (StandInCaller other = platform.caller()) {
            assertTrue(other.simple("ping").good());
            assertTrue(other.simple("ping").good());
        }
    }

    /** Returns the id of a request that is served now: what could go out before it has gone out. */
    private String servedNow() throws IOException {
        try (StandInCaller other = platform.caller()) {
            Map<String, String> fields = StandInCaller.fields(9000);
            assertEquals(other.call(fields, "select 2").field(), SERVED);
            return fields.get("call");
        }
    }

    private List<String> ids() {
        return List.of(platform.one, platform.two).stream()
                .flatMap(e -> e.ids().stream())
                .toList();
    }

    @Test(dataProvider = "goings")
    public void whileItsRequestIsHeldForWantOfAnEngine(Going how) throws IOException {
        platform = new Platform(Platform::patient);
        platform.tellBoth("draining");
        try (StandInCaller client = platform.caller()) {
            int seqid = client.send(StandInCaller.fields(9000), "select 1");
            assertTrue(client.simple("ping").good(), "it is taken and held");
            go(client, seqid, how);
            platform.tellBoth("ready");
            String next = servedNow();
            assertEquals(ids(), List.of(next));
        }
    }

    @Test(dataProvider = "goings")
    public void whileTheEnginesConnectionIsComingUp(Going how) throws IOException {
        platform = new Platform(Platform::patient);
        try (LateListener late = new LateListener();
                StandInCaller client = platform.caller()) {
            platform.journal.tell(true, "s-9", "" + late.port(), "ready");
            platform.awaitTold();
            int seqid = client.send(StandInCaller.fields(9000), "select 1");
            late.awaitConnecting();
            go(client, seqid, how);
            StandInLines engine = late.open();
            String next = servedNow();
            assertEquals(engine.ids(), List.of(next));
        }
    }

    @Test(dataProvider = "goings")
    public void betweenAnAttemptAndTheNext(Going how) throws IOException {
        platform = new Platform(Platform::patient);
        CountDownLatch drained = new CountDownLatch(1);
        for (StandInLines engine : List.of(platform.one, platform.two)) {
            engine.mode = Mode.SHED;
            engine.atWant = () -> {
                platform.tellBoth("draining");
                drained.countDown();
            };
        }
        try (StandInCaller client = platform.caller()) {
            Map<String, String> fields = StandInCaller.fields(9000);
            int seqid = client.send(fields, "select 1");
            Program.await("it has come", () -> drained.getCount() == 0);
            Program.await("its attempt has ended", () -> open() == 1 && runningAnswered());
            go(client, seqid, how);
            platform.both(Mode.SERVE);
            platform.one.atWant = () -> {};
            platform.two.atWant = () -> {};
            platform.tellBoth("ready");
            assertEquals(ids().size(), 1);
            String next = servedNow();
            assertEquals(ids().stream().filter(fields.get("call")::equals).count(), 1);
            assertTrue(ids().contains(next));
        }
    }

    /** The word SHED is written in the turn in which the request came, before anything else is read. */
    private boolean runningAnswered() {
        return platform.one.isQuiet() && platform.two.isQuiet();
    }

    private int open() {
        try {
            return FiguresTest.figures(platform.program).get("edge_relay_open_requests");
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test(dataProvider = "goings")
    public void behindThirtyOneOthers(Going how) throws IOException {
        platform = new Platform(Platform::patient);
        platform.both(Mode.SILENT);
        try (StandInCaller client = platform.caller()) {
            for (int i = 1; i < MOST_OPEN; i++) {
                client.send(StandInCaller.fields(9000), "select 1");
            }
            Map<String, String> last = StandInCaller.fields(9000);
            int seqid = client.send(last, "select 1");
            assertTrue(client.simple("ping").good(), "all are taken");
            go(client, seqid, how);
            int out = FiguresTest.figures(platform.program).get("edge_relay_relayed_total");
            assertTrue(out > 0 && out < MOST_OPEN, out + " are out, the others held");
            Program.await("they have come", () -> platform.wants() == out);
            platform.both(Mode.SERVE);
            String next = servedNow();
            assertFalse(ids().contains(last.get("call")));
            if (how != Going.ABORT) {
                assertEquals(ids().size(), out + 1, "none of the others went out either");
            }
            assertTrue(ids().contains(next));
        }
    }

    /** Its answers fill all buffers, and it reads none: what it says must be heard all the same. */
    @Test(dataProvider = "goings")
    public void whileItReadsNoAnswer(Going how) throws IOException {
        platform = new Platform(Platform::patient);
        platform.both(Mode.LARGE);
        try (StandInCaller client = new StandInCaller(platform.program.port(), 4096)) {
            for (int i = 1; unread() < 300_000; i++) {
                assertTrue(i < 200, "all buffers take more than that");
                client.send(StandInCaller.fields(9000), "select 1");
                int asked = i;
                Program.await("it runs", () -> platform.wants() >= asked && open() == 0);
            }
            platform.tellBoth("draining");
            Map<String, String> last = StandInCaller.fields(9000);
            int seqid = client.send(last, "select 1");
            Program.await("it is taken", () -> open() == 1);
            go(client, seqid, how);
            platform.both(Mode.SERVE);
            platform.tellBoth("ready");
            servedNow();
            assertFalse(ids().contains(last.get("call")));
        }
    }

    private int unread() throws IOException {
        return FiguresTest.figures(platform.program).get("edge_relay_unread_answer_bytes");
    }
}
