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
import lineward.testing.AdminClient;
import lineward.testing.EngineBehavior;
import lineward.testing.Program;
import lineward.testing.ProgramMetrics;
import lineward.testing.SocketActivator;
import lineward.testing.TestingClient;
import lineward.testing.TestingPlatform;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A hot restart: a new process takes over from the old one on a listening socket that both inherit. */
public class HotRestartHandoverTest {
    private static final int SERVED = 0;
    private SocketActivator activator;
    private TestingPlatform platform;
    private Program next;
    private AdminClient newAdmin;

    @BeforeMethod
    public void start() throws IOException {
        activator = new SocketActivator();
        platform = new TestingPlatform(Map.of(), activator);
        next = platform.startOnSharedSocket();
        newAdmin = new AdminClient(next);
        Program.await("the new process is ready", newAdmin::isReady);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        next.close();
        platform.close();
        activator.close();
    }

    private static boolean serves(TestingClient caller) throws IOException {
        return caller.call(TestingClient.fields(2000), "select 1").fieldId() == SERVED;
    }

    @Test
    public void servesEachRequestDuringTheHotRestart() throws IOException {
        List<TestingClient> existingClients = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            existingClients.add(platform.client());
            assertTrue(serves(existingClients.get(i)));
        }
        int attemptsBefore = ProgramMetrics.read(next).get("edge_relay_relayed_total");
        platform.program().sendSigterm();
        Program.await("SIGTERM was received", () -> platform.program().log().contains("SIGTERM"));
        for (TestingClient caller : existingClients) {
            assertTrue(serves(caller), "an open connection is still served");
        }
        for (int i = 0; i < 20; i++) {
            try (TestingClient caller = platform.client()) {
                assertTrue(serves(caller), "a new connection is served");
            }
        }
        assertTrue(
                ProgramMetrics.read(next).get("edge_relay_relayed_total") >= attemptsBefore + 20,
                "new connections go to the new process");
        Program.await("the old process exits", () -> !platform.program().isAlive());
        assertFalse(
                platform.program().log().contains("rror"), platform.program().log());
        for (TestingClient caller : existingClients) {
            caller.close();
        }
        assertTrue(next.isAlive());
        assertTrue(newAdmin.isReady());
    }

    @Test
    public void aBusyClientDoesNotDelayTheShutdown() throws IOException {
        platform.setBehavior(EngineBehavior.NO_RESPONSE);
        TestingClient caller = platform.client();
        Set<Integer> openSeqids = new HashSet<>();
        for (int i = 0; i < 5; i++) {
            openSeqids.add(caller.send(TestingClient.fields(9000), "select 1"));
        }
        Program.await(
                "the requests run",
                () -> platform.engine1().attempts() + platform.engine2().attempts() >= 5);
        boolean nextHasRequests = ProgramMetrics.read(next).get("edge_relay_open_requests") > 0;
        Program serving = nextHasRequests ? next : platform.program();
        serving.sendSigterm();
        int responseCount = 0;
        try {
            while (true) {
                assertTrue(openSeqids.remove(caller.read().seqid()));
                responseCount++;
                openSeqids.add(caller.send(TestingClient.fields(9000), "select 1"));
            }
        } catch (EOFException | SocketException e) {
            // The program has closed the connection, as no request was open.
        }
        assertTrue(responseCount >= 5, "all running requests were answered");
        Program.await("the process exits", () -> !serving.isAlive());
        assertTrue(serving.log().contains("graceful shutdown complete: openRequests=0"), serving.log());
    }

    @Test
    public void anAcceptWithoutAConnectionBlocksNoClient() throws IOException {
        activator.makeBlocking();
        for (int i = 0; i < 200; i++) {
            try (TestingClient caller = platform.client()) {
                assertTrue(caller.callMethod("ping").ok());
            }
        }
        assertTrue(newAdmin.isReady());
        assertTrue(new AdminClient(platform.program()).isReady());
        assertEquals(ProgramMetrics.read(next).get("edge_relay_open_requests"), (Integer) 0);
    }
}
