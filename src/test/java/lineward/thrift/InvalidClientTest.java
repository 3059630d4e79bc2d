package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lineward.testing.EngineBehavior;
import lineward.testing.Program;
import lineward.testing.RequestFields;
import lineward.testing.TestingClient;
import lineward.testing.TestingPlatform;
import lineward.testing.ThriftResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Malformed requests, clients that violate the protocol, and the limit of connections. */
public class InvalidClientTest {
    private static final int EXCEPTION = 3;
    private static final int SERVED = 0;
    private static final String[][] INVALID_FIELDS = {
        {RequestFields.REQUEST_CLASS, "unknown"},
        {RequestFields.REQUEST_ID, "short"},
        {RequestFields.REQUEST_ID, "zzzzzzzzzzzzzzzz"},
        {RequestFields.TIME_LEFT_MS, "0"},
        {RequestFields.TIME_LEFT_MS, "soon"},
        {RequestFields.TENANT, "nobody"},
        {RequestFields.ESTIMATED_WORK_MS, "-1"},
        {RequestFields.ESTIMATED_MEMORY_MB, "1e9"},
        {RequestFields.CLIENT_RETRY, "yes"},
        {RequestFields.TIME_LEFT_MS, "99999999"},
        {RequestFields.ESTIMATED_WORK_MS, "99999999999"},
        {RequestFields.ESTIMATED_WORK_MS, "NaN"},
        {RequestFields.ESTIMATED_MEMORY_MB, "99999999"}
    };
    private TestingPlatform platform;

    @BeforeMethod
    public void start() throws IOException {
        platform = new TestingPlatform(Map.of());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        platform.close();
    }

    private ThriftResponse call(TestingClient caller, int timeLeftMs) throws IOException {
        return caller.call(TestingClient.fields(timeLeftMs), "select * from sales_17.orders");
    }

    private long requests() {
        return platform.engine1().attempts() + platform.engine2().attempts();
    }

    @Test
    public void rejectsInvalidFields() throws IOException {
        try (TestingClient caller = platform.client()) {
            for (String[] field : INVALID_FIELDS) {
                Map<String, String> fields = TestingClient.fields(1000);
                fields.put(field[0], field[1]);
                ThriftResponse response = caller.call(fields, "select 1");
                assertEquals(response.messageType(), EXCEPTION);
                assertTrue(response.body().contains(field[0]), response.body());
            }
            assertEquals(requests(), 0);
        }
    }

    @Test
    public void aMalformedFrameClosesOnlyItsConnection() throws IOException {
        try (TestingClient other = platform.client()) {
            for (String malformed : new String[] {"not thrift at all", ""}) {
                try (TestingClient caller = platform.client()) {
                    caller.sendFrame(malformed.getBytes(StandardCharsets.UTF_8));
                    assertThrows(EOFException.class, caller::read);
                }
            }
            assertEquals(call(other, 2000).fieldId(), SERVED);
            assertEquals(other.callMethod("dance").messageType(), EXCEPTION);
            assertTrue(other.callMethod("ping").ok());
        }
    }

    /** Clients that violate the protocol; the program must close their connections. */
    @DataProvider
    public Object[][] invalidClients() {
        InvalidClient silent = caller -> {};
        InvalidClient partial = caller -> caller.sendRaw(new byte[] {0, 0, 1, 0, 1});
        InvalidClient huge = caller -> caller.sendRaw(new byte[] {3, -128, 0, 0, 1});
        InvalidClient negative = caller -> caller.sendRaw(new byte[] {-1, -1, -1, -1});
        InvalidClient trailer = caller -> caller.send(TestingClient.fields(2000), "select 1", new byte[] {0});
        InvalidClient twice = caller -> {
            caller.send(TestingClient.fields(2000), "select 1");
            caller.setNextSeqid(1);
            caller.send(TestingClient.fields(2000), "select 1");
        };
        InvalidClient abort = caller -> caller.abort(7);
        InvalidClient flood = caller -> {
            for (int i = 0; i < 40; i++) {
                caller.send(TestingClient.fields(2000), "select 1");
            }
        };
        return new Object[][] {{silent}, {partial}, {huge}, {negative}, {trailer}, {twice}, {abort}, {flood}};
    }

    private interface InvalidClient {
        void send(TestingClient caller) throws IOException;
    }

    @Test(dataProvider = "invalidClients")
    public void closesConnectionsOfInvalidClients(InvalidClient invalidClient) throws IOException {
        platform.setBehavior(EngineBehavior.NO_RESPONSE);
        try (TestingClient caller = platform.client()) {
            caller.socket().setSoTimeout(3000);
            invalidClient.send(caller);
            assertTrue(caller.isClosed(), "not closed within 3 s");
        }
    }

    @Test
    public void rejectsTheIdOfAnOpenRequest() throws IOException {
        platform.setBehavior(EngineBehavior.NO_RESPONSE);
        try (TestingClient first = platform.client();
                TestingClient second = platform.client()) {
            Map<String, String> fields = TestingClient.fields(2000);
            first.send(fields, "select 1");
            Program.await("the request runs", () -> requests() == 1);
            ThriftResponse response = second.call(fields, "select 2");
            assertEquals(response.messageType(), EXCEPTION);
            assertTrue(response.body().contains(RequestFields.REQUEST_ID), response.body());
        }
    }

    @Test
    public void closesTheLongestIdleConnectionAtTheLimit() throws IOException {
        List<TestingClient> clients = new ArrayList<>();
        try {
            for (int i = 0; i < 600; i++) {
                TestingClient caller = platform.client();
                clients.add(caller);
                assertEquals(call(caller, 2000).fieldId(), SERVED);
            }
            clients.get(0).send(TestingClient.fields(2000), "select 1");
            assertTrue(clients.get(0).isClosed(), "the connection that was idle longest is closed");
        } finally {
            for (TestingClient caller : clients) {
                caller.close();
            }
        }
    }
}
