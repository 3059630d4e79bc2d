package lineward.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lineward.mysql.TestingMysqlEngine.Fault;
import lineward.testing.Program;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Clients share the connections to an engine, but one client's session state must not affect another. */
public class SessionIsolationTest {
    private static final String WITHOUT_SETTINGS = "{}";
    private static final String NEW_CLIENT_QUERY = "select rows=1 of a new client";
    private TestingMysqlEngine engine;
    private Path configFile;
    private Program program;

    @BeforeMethod
    public void start() throws IOException {
        engine = new TestingMysqlEngine();
        configFile = Files.createTempFile("mysql", ".toml");
        Files.writeString(
                configFile,
                "listen = \"127.0.0.1:0\"\n"
                        + "[[user]]\nname = \"office\"\npassword = \"secret\"\n"
                        + "[[class]]\nname = \"all\"\naim-ms = 2000\ndeadline-ms = 9000\n"
                        + "[[engine]]\nname = \"one\"\naddress = \""
                        + engine.address()
                        + "\"\nuser = \"front\"\n");
        program = new Program(Map.of(), "mysql", configFile.toString());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        program.close();
        engine.close();
        Files.delete(configFile);
    }

    private TestingMysqlClient client() throws IOException {
        return new TestingMysqlClient(program.port());
    }

    /** Executes a statement for a new client, and returns the state of its session at the engine. */
    private TestingMysqlEngine.Execution executeForNewClient() throws IOException {
        try (TestingMysqlClient client = client()) {
            assertEquals(client.query(NEW_CLIENT_QUERY).rows().size(), 1);
            return engine.executions.get(engine.executions.size() - 1);
        }
    }

    private TestingMysqlEngine.Execution lastExecution() {
        return engine.executions.get(engine.executions.size() - 1);
    }

    private void assertNewClientsAreUnaffected() throws IOException {
        for (int i = 0; i < 3; i++) {
            assertEquals(
                    executeForNewClient(),
                    new TestingMysqlEngine.Execution(NEW_CLIENT_QUERY, WITHOUT_SETTINGS, "", ""));
        }
    }

    /** Whether the client resets its connection (true) or closes it (false). */
    @DataProvider
    public Object[][] disconnects() {
        return new Object[][] {{true}, {false}};
    }

    private static void disconnect(TestingMysqlClient client, boolean reset) throws IOException {
        if (reset) {
            client.packets.socket.setSoLinger(true, 0);
        }
        client.packets.socket.close();
    }

    /** A connection to which the settings of a disconnected client are being applied must not be reused. */
    @Test(dataProvider = "disconnects")
    public void discardsSettingsOfAClientThatDisconnects(boolean reset) throws Exception {
        CountDownLatch settingsReceived = new CountDownLatch(1);
        CountDownLatch clientDisconnected = new CountDownLatch(1);
        engine.beforeSetReply = () -> {
            settingsReceived.countDown();
            try {
                assertTrue(clientDisconnected.await(10, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        };
        try (TestingMysqlClient client = client()) {
            assertEquals(client.query("set sql_mode = 'ANSI'").code(), 0);
            client.send(3, "select rows=1 of a disconnected client");
            assertTrue(settingsReceived.await(10, TimeUnit.SECONDS), "the engine has received the settings");
            disconnect(client, reset);
            assertNewClientsAreUnaffected();
            clientDisconnected.countDown();
            assertNewClientsAreUnaffected();
        }
        assertTrue(
                engine.executedTexts.stream().noneMatch(text -> text.contains("disconnected client")),
                engine.executedTexts.toString());
    }

    /** The engine has applied the first setting when it rejects the second, so its session has changed. */
    @Test
    public void discardsSettingsAfterAFailedSet() throws IOException {
        try (TestingMysqlClient client = client()) {
            assertEquals(
                    client.query("set group_concat_max_len = 5, sql_mode = 'bad_mode'")
                            .code(),
                    0);
            int code = client.query("select rows=1").code();
            assertEquals(code, 1193, "the engine rejects the second setting");
            assertNewClientsAreUnaffected();
        }
    }

    @Test(dataProvider = "disconnects")
    public void discardsSettingsAfterAKill(boolean reset) throws IOException {
        engine.fault = Fault.SILENT;
        try (TestingMysqlClient client = client()) {
            assertEquals(client.query("set sql_mode = 'ANSI'").code(), 0);
            client.send(3, "select rows=1 of a disconnected client");
            Program.await("the engine executes the statement", () -> !engine.executedTexts.isEmpty());
            disconnect(client, reset);
            Program.await(
                    "the engine receives the kill",
                    () -> engine.commands.stream().anyMatch(text -> text.startsWith("KILL")));
            engine.fault = Fault.NONE;
            assertNewClientsAreUnaffected();
        }
    }

    @Test
    public void settingsAndSchemaApplyToTheirClientOnly() throws IOException {
        try (TestingMysqlClient client = client()) {
            assertEquals(client.query("set sql_mode = 'ANSI'").code(), 0);
            assertEquals(client.query("use sales").code(), 0);
            assertEquals(client.query("select rows=1").code(), 0);
            assertNewClientsAreUnaffected();
            assertEquals(client.query("select rows=1").code(), 0);
            TestingMysqlEngine.Execution finalExecution = engine.executions.get(engine.executions.size() - 1);
            assertEquals(
                    finalExecution,
                    new TestingMysqlEngine.Execution("select rows=1", "{sql_mode='ANSI'}", "sales", ""));
        }
    }

    /** An engine parses a prepared statement with the settings that apply when it prepares the statement. */
    @Test
    public void preparesAStatementForEachSetOfSettings() throws IOException {
        try (TestingMysqlClient first = client();
                TestingMysqlClient second = client()) {
            assertEquals(first.query("set sql_mode = 'ANSI'").code(), 0);
            TestingMysqlClient.Statement ansi = first.prepare("select rows=1 of \"a\"");
            TestingMysqlClient.Statement plain = second.prepare("select rows=1 of \"a\"");
            for (int i = 0; i < 3; i++) {
                assertEquals(first.execute(ansi, true).rows().size(), 1);
                assertEquals(lastExecution().settings(), "{sql_mode='ANSI'}");
                assertEquals(second.execute(plain, true).rows().size(), 1);
                assertEquals(lastExecution().settings(), WITHOUT_SETTINGS);
            }
        }
    }

    /** Statements that may change the engine's session, executed as text and prepared. */
    @DataProvider
    public Object[][] sessionChanges() {
        return new Object[][] {
            {"call p()"},
            {"/*!50000 set sql_mode = 'ANSI' */"},
            {"/*M! set @a = 1 */"},
            {"select rows=1 /*!, @a := 1 */"},
            {"create or replace temporary table t (a int)"},
            {"flush tables with read lock"},
            {"do f('opens a transaction')"}
        };
    }

    @Test(dataProvider = "sessionChanges")
    public void closesTheConnectionAfterASessionChange(String text) throws IOException {
        try (TestingMysqlClient client = client()) {
            assertEquals(client.query(text).code(), 0);
            assertNewClientsAreUnaffected();
            TestingMysqlClient.Statement statement = client.prepare(text);
            assertEquals(client.execute(statement, true).code(), 0);
            assertNewClientsAreUnaffected();
            Program.await("connections with changed sessions are closed", () -> engine.socketCount() == 1);
        }
    }

    /** Statements that depend on an earlier one of the connection, which may be another client's. */
    @DataProvider
    public Object[][] dependentStatements() {
        return new Object[][] {
            {"show count(*) warnings"},
            {"get diagnostics @a = number"},
            {"select @@last_insert_id"},
            {"select @@session.warning_count, 1"},
            {"select @@local.identity"},
            {"select @a"},
            {"select found_rows()"},
            {"select row_count()"}
        };
    }

    @Test(dataProvider = "dependentStatements")
    public void rejectsStatementsThatDependOnThePreviousOne(String text) throws IOException {
        try (TestingMysqlClient client = client()) {
            assertEquals(client.query(text).code(), 1235);
            assertEquals(client.query("show warnings").rows().size(), 0);
            assertEquals(engine.executedTexts, List.of());
        }
    }
}
