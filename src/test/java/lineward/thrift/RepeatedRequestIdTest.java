package lineward.thrift;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.Map;
import lineward.testing.AdminClient;
import lineward.testing.EngineBehavior;
import lineward.testing.Program;
import lineward.testing.SocketActivator;
import lineward.testing.TestingClient;
import lineward.testing.TestingPlatform;
import org.testng.annotations.Test;

/** Ids that come again less than 5 s after their request has ended: nothing may run a second time. */
public class RepeatedRequestIdTest {
    private static final int SERVED = 0;
    private static final int DEADLINE_MS = 2000;

    private static final String STATEMENT = "select 1";

    private static boolean isServed(TestingClient client, Map<String, String> fields) throws IOException {
        return client.call(fields, STATEMENT).fieldId() == SERVED;
    }

    /** Guards against an id that is released with its connection: its request was served. */
    @Test
    public void doesNotRunAServedIdAgainAfterItsClientHasLeft() throws IOException {
        Map<String, String> fields = TestingClient.fields(DEADLINE_MS);
        try (TestingPlatform platform = new TestingPlatform(Map.of())) {
            try (TestingClient leaving = platform.client()) {
                assertEquals(isServed(leaving, fields), true);
            }
            try (TestingClient next = platform.client()) {
                assertEquals(isServed(next, fields), false);
                assertEquals(isServed(next, TestingClient.fields(DEADLINE_MS)), true);
            }
            assertEquals(platform.attempts(), 2);
        }
    }

    /** Guards against an id that is released with its connection: its request ran when the client left. */
    @Test
    public void doesNotRunAnIdAgainWhoseClientHasLeftWhileItRan() throws IOException {
        Map<String, String> fields = TestingClient.fields(DEADLINE_MS);
        try (TestingPlatform platform = new TestingPlatform(Map.of())) {
            platform.setBehavior(EngineBehavior.NO_RESPONSE);
            try (TestingClient leaving = platform.client()) {
                leaving.send(fields, STATEMENT);
                Program.await("the request runs", () -> platform.attempts() == 1);
            }
            platform.setBehavior(EngineBehavior.SERVE);
            try (TestingClient next = platform.client()) {
                assertEquals(isServed(next, fields), false);
                assertEquals(isServed(next, TestingClient.fields(DEADLINE_MS)), true);
            }
            assertEquals(platform.attempts(), 2);
        }
    }

    /** Guards against ids that a hot restart forgets: the other process of the front end runs them again. */
    @Test
    public void doesNotRunAnIdAgainAtTheOtherProcessOfAHotRestart() throws IOException {
        Map<String, String> fields = TestingClient.fields(DEADLINE_MS);
        try (SocketActivator activator = new SocketActivator();
                TestingPlatform platform = new TestingPlatform(Map.of(), activator)) {
            try (TestingClient leaving = platform.client()) {
                assertEquals(isServed(leaving, fields), true);
            }
            try (Program next = platform.startOnSharedSocket()) {
                Program.await("the new process is ready", new AdminClient(next)::isReady);
                platform.program().sendSigterm();
                Program.await("the old process exits", () -> !platform.program().isAlive());
                try (TestingClient client = platform.client()) {
                    assertEquals(isServed(client, fields), false);
                }
                assertEquals(platform.attempts(), 1);
            }
        }
    }
}
