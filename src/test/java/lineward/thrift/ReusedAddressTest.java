package lineward.thrift;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import lineward.testing.EngineBehavior;
import lineward.testing.Program;
import lineward.testing.RequestFields;
import lineward.testing.TestingClient;
import lineward.testing.TestingEngine;
import lineward.testing.TestingPlatform;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A new engine at the address of one that has gone gets its own requests only. */
public class ReusedAddressTest {
    private static final int SERVED = 0;
    private static final int DEADLINE_MS = 2400;

    private TestingPlatform platform;

    @BeforeMethod
    public void start() throws IOException {
        platform = new TestingPlatform(TestingPlatform::withNonIdempotentClass);
        platform.publishOnly("s-1", platform.engine1());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        platform.close();
    }

    private static Map<String, String> fieldsOf(String requestClass) {
        Map<String, String> fields = new HashMap<>(TestingClient.fields(DEADLINE_MS));
        fields.put(RequestFields.REQUEST_CLASS, requestClass);
        return fields;
    }

    private void openRequest(TestingClient client, String requestClass) throws IOException {
        platform.engine1().setBehavior(EngineBehavior.NO_RESPONSE);
        client.send(fieldsOf(requestClass), "select 1");
        Program.await("the request runs", () -> platform.engine1().attempts() == 1);
    }

    private void replaceEngine(int port) {
        platform.discovery().publish(false, "s-1", "" + port, "gone", "s-9", "" + port, "ready");
        platform.awaitEventsReceived();
    }

    /** Guards against a request that runs twice: its engine has gone, and whether it ran is not known. */
    @Test
    public void aNonIdempotentRequestOfTheGoneEngineIsNotRunByTheNewOne() throws IOException {
        int port = platform.engine1().port();
        try (TestingClient client = platform.client()) {
            openRequest(client, "load");
            platform.engine1().close();
            try (TestingEngine newEngine = new TestingEngine(port)) {
                replaceEngine(port);
                assertEquals(client.read().fieldId() == SERVED, false);
                assertEquals(newEngine.attempts(), 0);
                assertServedBy(newEngine, client);
            }
        }
    }

    private static void assertServedBy(TestingEngine engine, TestingClient client) throws IOException {
        assertEquals(client.call(fieldsOf("look"), "select 1").fieldId(), SERVED);
        assertEquals(engine.attempts(), 1);
    }

    /** Guards against work at the wrong place: the new engine gets an attempt of its own, and only one. */
    @Test
    public void anIdempotentRequestOfTheGoneEngineIsRunOnceByTheNewOne() throws IOException {
        int port = platform.engine1().port();
        try (TestingClient client = platform.client()) {
            openRequest(client, "look");
            platform.engine1().close();
            try (TestingEngine newEngine = new TestingEngine(port)) {
                replaceEngine(port);
                assertEquals(client.read().fieldId(), SERVED);
                assertEquals(newEngine.attempts(), 1);
            }
        }
    }
}
