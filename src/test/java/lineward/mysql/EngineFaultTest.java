package lineward.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import lineward.mysql.TestingMysqlEngine.Fault;
import lineward.testing.Program;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Engines that fail or do not answer. */
public class EngineFaultTest extends TwoEngineFixture {
    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {Fault.CRASH_AFTER_PREPARE, "select rows=4", 0},
            {Fault.CRASH_AFTER_PREPARE, "update t set a=1", 0},
            {Fault.CRASH_IN_EXECUTE, "select rows=4", 0},
            {Fault.CRASH_IN_EXECUTE, "update t set a=1", FAILED_CODE},
            {Fault.CRASH_BETWEEN_ROWS, "select rows=4", 0},
            {Fault.CRASH_BETWEEN_ROWS, "select rows=20000", 0},
            {Fault.MALFORMED_REPLY, "select rows=4", 0},
            {Fault.MALFORMED_REPLY, "update t set a=1", FAILED_CODE},
            {Fault.TOO_MANY_CONNECTIONS, "update t set a=1", 0}
        };
    }

    /**
     * The engine fails between the preparation and the execution, during the execution or between two rows,
     * sends a malformed reply, or rejects new connections. Every execution is answered; a write runs once.
     */
    @Test(dataProvider = "faults")
    public void answersEveryExecution(Fault fault, String text, int code) throws IOException {
        try (TestingMysqlClient client = client()) {
            TestingMysqlClient.Statement statement = client.prepare(text);
            if (fault == Fault.CRASH_AFTER_PREPARE || fault == Fault.TOO_MANY_CONNECTIONS) {
                resetAndAwaitClose(engineThatPrepared(text), fault);
            } else {
                setFaultOfNextEngine(fault);
            }
            int executionsBefore = executionCount(text);
            TestingMysqlClient.Result result = client.execute(statement, false);
            assertNotEquals(one.fault, two.fault, "one engine has the fault, the other has none");
            assertEquals(result.code(), code, result.message());
            if (code == 0 && text.startsWith("select")) {
                assertEquals(result.rows().size(), text.contains("20000") ? 20_000 : 4);
            }
            if (code == FAILED_CODE) {
                assertEquals(result.sqlState(), "70100");
            }
            if (text.startsWith("update")) {
                assertEquals(executionCount(text) - executionsBefore, 1, "executions of a write");
            }
            assertEquals(client.query("select rows=1").rows().size(), 1, "the connection is still usable");
        }
    }

    /**
     * The program sends the execution before it notices that the engine has reset the connection. It can't
     * know whether the engine has executed the write, so the write fails and is not retried.
     */
    @Test
    public void failsAWriteSentBeforeTheResetIsRead() throws IOException {
        String text = "update t set a=1";
        try (TestingMysqlClient client = client()) {
            TestingMysqlClient.Statement statement = client.prepare(text);
            setFaultOfNextEngine(Fault.CRASH_BEFORE_EXECUTE);
            TestingMysqlClient.Result result = client.execute(statement, false);
            assertNotEquals(one.crashed(), two.crashed(), "the execution reached an engine that reset it");
            assertEquals(result.code(), FAILED_CODE, result.message());
            assertEquals(result.sqlState(), "70100");
            assertEquals(executionCount(text), 0, "no engine has executed it");
            assertEquals(client.query("select rows=1").rows().size(), 1, "the connection is still usable");
        }
    }

    /** Sets the fault at both engines; when it occurs at one of them, it is cleared at the other. */
    private void setFaultOfNextEngine(Fault fault) {
        one.beforeFault = () -> two.fault = Fault.NONE;
        two.beforeFault = () -> one.fault = Fault.NONE;
        one.fault = fault;
        two.fault = fault;
    }

    private TestingMysqlEngine engineThatPrepared(String text) {
        return one.commands.contains("prepare " + text) ? one : two;
    }

    /** Resets the engine's connections; returns once the program has closed them. */
    private static void resetAndAwaitClose(TestingMysqlEngine engine, Fault fault) throws IOException {
        engine.fault = fault;
        ChildSockets openSockets = ChildSockets.connectedTo(engine.port());
        assertFalse(openSockets.areClosed(), "the program is connected to the engine");
        if (fault == Fault.TOO_MANY_CONNECTIONS) {
            engine.resetConnections();
        } else {
            engine.crash();
        }
        Program.await("the program has read the reset", openSockets::areClosed);
    }

    @Test
    public void rejectsAStatementOfAnUnresponsiveEngineByItsDeadline() throws IOException {
        one.fault = Fault.SILENT;
        two.fault = Fault.SILENT;
        try (TestingMysqlClient client = client()) {
            long start = System.nanoTime();
            TestingMysqlClient.Result result = client.query("select rows=1");
            assertEquals(result.code(), REJECTED_CODE);
            assertTrue((System.nanoTime() - start) / 1e6 < 1600, "answered by its deadline");
            Program.await(
                    "an engine receives the kill",
                    () -> one.commands.stream().anyMatch(command -> command.startsWith("KILL QUERY"))
                            || two.commands.stream().anyMatch(command -> command.startsWith("KILL QUERY")));
            assertEquals(client.query("update t set a = 1").code(), FAILED_CODE);
            assertEquals(executionCount("update t set a = 1"), 1);
        }
        assertEquals(TestingMysqlEngine.MAX_RUNNING_COUNT.get(), 1, "concurrent attempts");
    }

    @Test
    public void killsTheStatementOfAClientThatDisconnects() throws IOException {
        one.fault = Fault.SILENT;
        two.fault = Fault.SILENT;
        try (TestingMysqlClient client = client()) {
            client.send(3, "select rows=1");
            Program.await("an engine executes the statement", () -> executionCount("select rows=1") == 1);
        }
        Program.await(
                "an engine receives the kill",
                () -> one.commands.toString().contains("KILL")
                        || two.commands.toString().contains("KILL"));
    }
}
