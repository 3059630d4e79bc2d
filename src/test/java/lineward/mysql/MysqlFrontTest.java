package lineward.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import lineward.mysql.StandInEngine.Trouble;
import lineward.testing.Program;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The MySQL front as a process between stand-in clients and engines. */
public class MysqlFrontTest {
    private static final int REFUSED = 1637;
    private static final int FAILED = 1317;

    private StandInEngine one;
    private StandInEngine two;
    private Path file;
    private Program program;

    @BeforeMethod
    public void start() throws IOException {
        StandInEngine.MOST_RUNNING.set(0);
        one = new StandInEngine();
        two = new StandInEngine();
        file = Files.createTempFile("mysql", ".toml");
        configure("ready", "ready");
        program = new Program(Map.of(), "mysql", file.toString());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        program.close();
        one.close();
        two.close();
        Files.delete(file);
    }

    private void configure(String stateOfOne, String stateOfTwo) throws IOException {
        StringBuilder text = new StringBuilder("""
                listen = "127.0.0.1:0"
                [limits]
                packet = 100000
                [[user]]
                name = "office"
                password = "secret"
                [[class]]
                name = "all"
                aim-ms = 300
                deadline-ms = 1500
                """);
        engine(text, "one", one, stateOfOne);
        engine(text, "two", two, stateOfTwo);
        Files.writeString(file, text);
    }

    private static void engine(StringBuilder text, String name, StandInEngine engine, String state) {
        text.append("[[engine]]\nname = \"")
                .append(name)
                .append("\"\naddress = \"")
                .append(engine.address())
                .append("\"\nuser = \"front\"\nstate = \"")
                .append(state)
                .append("\"\n");
    }

    private StandInClient client() throws IOException {
        return new StandInClient(program.port());
    }

    private int runs(String text) {
        return (int) (one.ran.stream().filter(text::equals).count()
                + two.ran.stream().filter(text::equals).count());
    }

    @DataProvider
    public Object[][] logins() {
        return new Object[][] {
            {"caching_sha2_password", "secret", null, 0},
            {"mysql_native_password", "secret", null, 0},
            {"sha256_password", "secret", null, 0},
            {"caching_sha2_password", "guess", null, 1045},
            {"mysql_native_password", "guess", null, 1045},
            {"caching_sha2_password", "secret", "sales", 0},
            {"caching_sha2_password", "secret", "nowhere", 1049}
        };
    }

    @Test(dataProvider = "logins")
    public void loginChecksProof(String plugin, String password, String schema, int code) throws IOException {
        try (StandInClient client = new StandInClient(program.port(), plugin, password, schema)) {
            assertEquals(client.login.code(), code);
        }
    }

    @Test
    public void textAndPreparedStatementsAreServed() throws IOException {
        try (StandInClient client = client()) {
            assertEquals(client.query("select rows=3").rows().size(), 3);
            assertEquals(client.query("syntax error").code(), 1064);
            StandInClient.Statement s = client.prepare("select rows=2 where a = ? and b = ?");
            assertEquals(s.params(), 2);
            assertEquals(client.execute(s, true, "x", "y").rows().size(), 2);
            assertEquals(client.execute(s, false, "x", "z").rows().size(), 2);
            assertEquals(client.command(0x1a, s.id()).code(), 0);
            client.send(0x19, s.id());
            assertEquals(client.execute(s, false, "x", "z").code(), 1243);
            assertEquals(client.command(0x0e).code(), 0);
        }
        // The second execution gave no types: the engine must have got them all the same.
        String last = one.said.stream()
                .filter(t -> t.startsWith("execute"))
                .reduce((a, b) -> b)
                .orElseGet(() -> two.said.stream()
                        .filter(t -> t.startsWith("execute"))
                        .reduce((a, b) -> b)
                        .orElseThrow());
        assertTrue(last.startsWith("execute [0, 1, 0, 0, 0, 0, 1, -3, 0, -3, 0,"), last);
    }

    @Test
    public void longDataGoesAheadOfItsExecution() throws IOException {
        try (StandInClient client = client()) {
            StandInClient.Statement s = client.prepare("insert into t values (?)");
            client.send(0x18, s.id(), 0, 0, "piece one,");
            client.send(0x18, s.id(), 0, 0, "piece two");
            assertEquals(client.execute(s, true, "").code(), 0);
            assertTrue(one.said.contains("long 100 piece two") || two.said.contains("long 100 piece two"));
        }
    }

    @DataProvider
    public Object[][] deaths() {
        return new Object[][] {
            {Trouble.DIE_AFTER_PREPARE, "select rows=4", 0},
            {Trouble.DIE_AFTER_PREPARE, "update t set a=1", 0},
            {Trouble.DIE_IN_EXECUTE, "select rows=4", 0},
            {Trouble.DIE_IN_EXECUTE, "update t set a=1", FAILED},
            {Trouble.DIE_AMID_ROWS, "select rows=4", 0},
            {Trouble.DIE_AMID_ROWS, "select rows=20000", 0},
            {Trouble.GARBAGE, "select rows=4", 0},
            {Trouble.GARBAGE, "update t set a=1", FAILED},
            {Trouble.FULL, "update t set a=1", 0}
        };
    }

    /** Guards against the hard case: an engine vanishes between prepare and execute, in it or amid rows. */
    @Test(dataProvider = "deaths")
    public void everyExecuteEndsThoughItsEngineDies(Trouble fault, String text, int code) throws IOException {
        try (StandInClient client = client()) {
            StandInClient.Statement statement = client.prepare(text);
            if (fault == Trouble.DIE_AFTER_PREPARE || fault == Trouble.FULL) {
                resetAndAwaitClose(firstToPrepare(text), fault);
            } else {
                setFaultOfNextEngine(fault);
            }
            int runsBefore = runs(text);
            StandInClient.Result result = client.execute(statement, false);
            assertNotEquals(one.trouble, two.trouble, "one engine has the fault, the other has none");
            assertEquals(result.code(), code, result.message());
            if (code == 0 && text.startsWith("select")) {
                assertEquals(result.rows().size(), text.contains("20000") ? 20_000 : 4);
            }
            if (code == FAILED) {
                assertEquals(result.state(), "70100");
            }
            if (text.startsWith("update")) {
                assertEquals(runs(text) - runsBefore, 1, "runs of a write");
            }
            assertEquals(client.query("select rows=1").rows().size(), 1, "the connection lives on");
        }
    }

    /**
     * The opposite order of the cases above: the execution has gone out before the program reads the reset.
     * The program can't know that it never ran, so that the write fails and is not retried.
     */
    @Test
    public void aWriteSentBeforeTheResetIsReadFailsAndIsNotRetried() throws IOException {
        String text = "update t set a=1";
        try (StandInClient client = client()) {
            StandInClient.Statement statement = client.prepare(text);
            setFaultOfNextEngine(Trouble.DIE_BEFORE_EXECUTE);
            StandInClient.Result result = client.execute(statement, false);
            assertNotEquals(one.isDead(), two.isDead(), "the execution reached an engine that reset it");
            assertEquals(result.code(), FAILED, result.message());
            assertEquals(result.state(), "70100");
            assertEquals(runs(text), 0, "neither the reset engine nor another one ran it");
            assertEquals(client.query("select rows=1").rows().size(), 1, "the connection lives on");
        }
    }

    /** Whichever engine is used next has the fault, and the other one is sound from then on. */
    private void setFaultOfNextEngine(Trouble fault) {
        one.beforeFault = () -> two.trouble = Trouble.NONE;
        two.beforeFault = () -> one.trouble = Trouble.NONE;
        one.trouble = fault;
        two.trouble = fault;
    }

    private StandInEngine firstToPrepare(String text) {
        return one.said.contains("prepare " + text) ? one : two;
    }

    /** Resets the engine's connections, and returns when the program has read that and closed its ends. */
    private static void resetAndAwaitClose(StandInEngine engine, Trouble trouble) throws IOException {
        engine.trouble = trouble;
        ChildSockets open = ChildSockets.connectedTo(engine.port());
        assertFalse(open.areClosed(), "the program is connected to the engine");
        if (trouble == Trouble.FULL) {
            engine.resetConnections();
        } else {
            engine.die();
        }
        Program.await("the program has read the reset", open::areClosed);
    }

    @Test
    public void aSilentEngineIsGivenUpAndTheStatementIsRefusedInTime() throws IOException {
        one.trouble = Trouble.SILENT;
        two.trouble = Trouble.SILENT;
        try (StandInClient client = client()) {
            long start = System.nanoTime();
            StandInClient.Result result = client.query("select rows=1");
            assertEquals(result.code(), REFUSED);
            assertTrue((System.nanoTime() - start) / 1e6 < 1600, "answered by its deadline");
            Program.await(
                    "the engine hears of the kill",
                    () -> one.said.stream().anyMatch(t -> t.startsWith("KILL QUERY"))
                            || two.said.stream().anyMatch(t -> t.startsWith("KILL QUERY")));
            assertEquals(client.query("update t set a = 1").code(), FAILED);
            assertEquals(runs("update t set a = 1"), 1);
        }
        assertEquals(StandInEngine.MOST_RUNNING.get(), 1, "attempts at once");
    }

    @Test
    public void aClientThatLeavesHasItsStatementKilled() throws IOException {
        one.trouble = Trouble.SILENT;
        two.trouble = Trouble.SILENT;
        try (StandInClient client = client()) {
            client.send(3, "select rows=1");
            Program.await("it runs", () -> runs("select rows=1") == 1);
        }
        Program.await(
                "the kill",
                () -> one.said.toString().contains("KILL")
                        || two.said.toString().contains("KILL"));
    }

    @Test
    public void nothingNewGoesToADrainingEngine() throws IOException {
        try (StandInClient client = client()) {
            client.query("select rows=1");
            configure("draining", "ready");
            Program.await("the drain is heard", () -> program.log().contains("one DRAINING"));
            int before = one.ran.size();
            for (int i = 0; i < 20; i++) {
                assertEquals(client.query("select rows=1").rows().size(), 1);
            }
            assertEquals(one.ran.size(), before);
            configure("draining", "gone");
            Program.await("nobody is left", () -> client(client).code() == REFUSED);
        }
    }

    private static StandInClient.Result client(StandInClient client) {
        try {
            return client.query("select rows=1");
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @DataProvider
    public Object[][] states() {
        return new Object[][] {
            {"BEGIN", 1179, "25000"},
            {"set autocommit = 0", 1179, "25000"},
            {"set @a = 1", 1235, "0A000"},
            {"select last_insert_id()", 1235, "0A000"},
            {"create temporary table t (a int)", 1235, "0A000"},
            {"set names utf8mb4", 0, ""},
            {"commit", 0, ""},
            {"use nowhere", 1049, "42000"},
            {"use sales", 0, ""}
        };
    }

    @Test(dataProvider = "states")
    public void sessionStateNotKeptIsRejected(String text, int code, String state) throws IOException {
        try (StandInClient client = client()) {
            StandInClient.Result result = client.query(text);
            assertEquals(result.code(), code, result.message());
            assertEquals(result.state(), state);
            assertEquals(client.command(2, "sales").code(), 0);
            assertEquals(client.query("select rows=1").code(), 0);
        }
    }

    @Test
    public void whatIsNotOfTheProtocolIsToldPlainly() throws IOException {
        try (StandInClient client = client()) {
            assertEquals(client.command(0x1c, 1L, 5L).code(), 1243);
            assertEquals(client.command(0x63).code(), 1047);
            StandInClient.Statement s = client.prepare("select rows=1");
            assertEquals(client.command(0x17, s.id(), 2, 1L).code(), 1210);
            assertEquals(client.query("x".repeat(100_001)).code(), 1153);
        }
    }

    @Test
    public void longResultsPassWhileTheyCome() throws IOException {
        try (StandInClient client = client()) {
            StandInClient.Result result = client.query("select rows=30000");
            assertEquals(result.rows().size(), 30000);
            assertNotEquals(result.rows().get(29999).length, 0);
        }
    }

    @Test
    public void afterSigtermWhatRunsIsAnswered() throws IOException, InterruptedException {
        one.trouble = Trouble.SILENT;
        two.trouble = Trouble.SILENT;
        try (StandInClient client = client()) {
            client.send(3, "select rows=1");
            Program.await("it runs", () -> runs("select rows=1") == 1);
            program.terminate();
            assertEquals(client.wire.read()[0] & 0xff, 0xff);
            assertEquals(program.status(), 0);
        }
    }
}
