package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import lineward.testing.EngineBehavior;
import lineward.testing.FullBacklogListener;
import lineward.testing.Program;
import lineward.testing.ProgramMetrics;
import lineward.testing.RequestFields;
import lineward.testing.TestingClient;
import lineward.testing.TestingEngine;
import lineward.testing.TestingPlatform;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** No attempt is started for a client that closed or reset its connection, or aborted the request. */
public class ClientDisconnectTest {
    private static final int SERVED = 0;
    private static final int MAX_OPEN_CALLS = 32;

    /** How the client disconnects. */
    private enum Disconnect {
        FIN,
        RESET,
        ABORT
    }

    private TestingPlatform platform;

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        platform.close();
    }

    @DataProvider
    public Object[][] disconnects() {
        return new Object[][] {{Disconnect.FIN}, {Disconnect.RESET}, {Disconnect.ABORT}};
    }

    /** Disconnects. Two pings from another client show that the program has processed the disconnect. */
    private void disconnect(TestingClient client, int seqid, Disconnect how) throws IOException {
        Socket socket = client.socket();
        switch (how) {
            case FIN -> socket.shutdownOutput();
            case RESET -> {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            default -> client.abort(seqid);
        }
        try (TestingClient other = platform.client()) {
            assertTrue(other.callMethod("ping").ok());
            assertTrue(other.callMethod("ping").ok());
        }
    }

    /**
     * Sends another request and returns its id once it is served. Every earlier request that can be forwarded
     * has been forwarded by then.
     */
    private String serveAnotherRequest() throws IOException {
        try (TestingClient other = platform.client()) {
            Map<String, String> fields = TestingClient.fields(9000);
            assertEquals(other.call(fields, "select 2").fieldId(), SERVED);
            return fields.get(RequestFields.REQUEST_ID);
        }
    }

    private List<String> receivedRequestIds() {
        return List.of(platform.engine1(), platform.engine2()).stream()
                .flatMap(engine -> engine.requestIds().stream())
                .toList();
    }

    @Test(dataProvider = "disconnects")
    public void cancelsARequestQueuedWithoutAnEngine(Disconnect how) throws IOException {
        platform = new TestingPlatform(TestingPlatform::withLongTimeouts);
        platform.publishBoth("draining");
        try (TestingClient client = platform.client()) {
            int seqid = client.send(TestingClient.fields(9000), "select 1");
            assertTrue(client.callMethod("ping").ok(), "the request is received");
            Program.await("the request is admitted and queued", () -> openRequests() == 1);
            disconnect(client, seqid, how);
            platform.publishBoth("ready");
            String nextId = serveAnotherRequest();
            assertEquals(receivedRequestIds(), List.of(nextId));
        }
    }

    @Test(dataProvider = "disconnects")
    public void cancelsARequestThatAwaitsAnEngineConnection(Disconnect how) throws IOException {
        platform = new TestingPlatform(TestingPlatform::withLongTimeouts);
        try (FullBacklogListener listener = new FullBacklogListener();
                TestingClient client = platform.client()) {
            platform.discovery().publish(true, "s-9", "" + listener.port(), "ready");
            platform.awaitEventsReceived();
            int seqid = client.send(TestingClient.fields(9000), "select 1");
            listener.awaitConnecting();
            disconnect(client, seqid, how);
            TestingEngine engine = listener.open();
            String nextId = serveAnotherRequest();
            assertEquals(engine.requestIds(), List.of(nextId));
        }
    }

    @Test(dataProvider = "disconnects")
    public void cancelsARequestBetweenTwoAttempts(Disconnect how) throws IOException {
        platform = new TestingPlatform(TestingPlatform::withLongTimeouts);
        CountDownLatch drained = new CountDownLatch(1);
        for (TestingEngine engine : List.of(platform.engine1(), platform.engine2())) {
            engine.setBehavior(EngineBehavior.REJECT);
            engine.onRequest(() -> {
                platform.publishBoth("draining");
                drained.countDown();
            });
        }
        try (TestingClient client = platform.client()) {
            Map<String, String> fields = TestingClient.fields(9000);
            int seqid = client.send(fields, "select 1");
            Program.await("an engine has received the request", () -> drained.getCount() == 0);
            Program.await("the attempt has ended", () -> openRequests() == 1 && enginesAreIdle());
            disconnect(client, seqid, how);
            platform.setBehavior(EngineBehavior.SERVE);
            platform.engine1().onRequest(() -> {});
            platform.engine2().onRequest(() -> {});
            platform.publishBoth("ready");
            assertEquals(receivedRequestIds().size(), 1);
            String nextId = serveAnotherRequest();
            assertEquals(
                    receivedRequestIds().stream()
                            .filter(fields.get(RequestFields.REQUEST_ID)::equals)
                            .count(),
                    1);
            assertTrue(receivedRequestIds().contains(nextId));
        }
    }

    /**
     * Returns whether both engines have responded to all requests. An engine rejects a request before it
     * reads anything else.
     */
    private boolean enginesAreIdle() {
        return platform.engine1().isIdle() && platform.engine2().isIdle();
    }

    private int openRequests() {
        try {
            return ProgramMetrics.read(platform.program()).get("edge_relay_open_requests");
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @Test(dataProvider = "disconnects")
    public void cancelsARequestQueuedAtTheLimitOfOpenRequests(Disconnect how) throws IOException {
        platform = new TestingPlatform(TestingPlatform::withLongTimeouts);
        platform.setBehavior(EngineBehavior.NO_RESPONSE);
        try (TestingClient client = platform.client()) {
            for (int i = 1; i < MAX_OPEN_CALLS; i++) {
                client.send(TestingClient.fields(9000), "select 1");
            }
            Map<String, String> lastFields = TestingClient.fields(9000);
            int seqid = client.send(lastFields, "select 1");
            assertTrue(client.callMethod("ping").ok(), "all requests are received");
            Program.await("all requests are admitted", () -> openRequests() == MAX_OPEN_CALLS);
            disconnect(client, seqid, how);
            int forwarded = ProgramMetrics.read(platform.program()).get("edge_relay_relayed_total");
            assertTrue(
                    forwarded > 0 && forwarded < MAX_OPEN_CALLS,
                    forwarded + " requests are forwarded, the others queued");
            Program.await("the engines have received them", () -> platform.attempts() == forwarded);
            platform.setBehavior(EngineBehavior.SERVE);
            String nextId = serveAnotherRequest();
            assertFalse(receivedRequestIds().contains(lastFields.get(RequestFields.REQUEST_ID)));
            if (how != Disconnect.ABORT) {
                assertEquals(receivedRequestIds().size(), forwarded + 1, "no other request was forwarded");
            }
            assertTrue(receivedRequestIds().contains(nextId));
        }
    }

    /** The client reads no responses and all buffers are full; its disconnect is still detected. */
    @Test(dataProvider = "disconnects")
    public void cancelsARequestOfAClientThatReadsNoResponses(Disconnect how) throws IOException {
        platform = new TestingPlatform(TestingPlatform::withLongTimeouts);
        platform.setBehavior(EngineBehavior.LARGE_RESULT);
        try (TestingClient client = new TestingClient(platform.program().port(), 4096)) {
            for (int i = 1; unreadBytes() < 300_000; i++) {
                assertTrue(i < 200, "the buffers must be full by now");
                client.send(TestingClient.fields(9000), "select 1");
                int sent = i;
                Program.await("request served", () -> platform.attempts() >= sent && openRequests() == 0);
            }
            platform.publishBoth("draining");
            Map<String, String> lastFields = TestingClient.fields(9000);
            int seqid = client.send(lastFields, "select 1");
            Program.await("the request is admitted", () -> openRequests() == 1);
            disconnect(client, seqid, how);
            platform.setBehavior(EngineBehavior.SERVE);
            platform.publishBoth("ready");
            serveAnotherRequest();
            assertFalse(receivedRequestIds().contains(lastFields.get(RequestFields.REQUEST_ID)));
        }
    }

    private int unreadBytes() throws IOException {
        return ProgramMetrics.read(platform.program()).get("edge_relay_unread_answer_bytes");
    }
}
