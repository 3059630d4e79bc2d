package lineward.mysql;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import lineward.mysql.TestingMysqlEngine.Fault;
import lineward.testing.Program;
import org.testng.annotations.Test;

/** A new engine process at the address of one that has ended; and statements of a client that has left. */
public class ReusedEngineAddressTest extends TwoEngineFixture {
    private static final int UNKNOWN_STATEMENT_CODE = 1243;
    private static final String WRITE = "update t set a=1";

    private void useOnlyEngineOne() throws IOException {
        writeConfig("ready", "draining");
        Program.await("the program drains engine two", () -> program.log().contains("two DRAINING"));
    }

    /** Ends the process of engine one and starts a new one at its address. */
    private void replaceEngineOne() throws IOException {
        int port = one.port();
        one.close();
        one = new TestingMysqlEngine(port);
    }

    /** Guards against a statement id of the old process: the new one has another statement under it. */
    @Test
    public void aPreparedStatementIsNotTakenForAnotherOneOfTheNewProcess() throws IOException {
        useOnlyEngineOne();
        try (TestingMysqlClient client = client();
                TestingMysqlClient other = client()) {
            TestingMysqlClient.Statement four = client.prepare("select rows=4");
            assertEquals(client.execute(four, false).rows().size(), 4);
            replaceEngineOne();
            TestingMysqlClient.Statement two = other.prepare("select rows=2");
            assertEquals(other.execute(two, false).rows().size(), 2);
            assertEquals(client.execute(four, false).rows().size(), 4);
            assertEquals(other.execute(two, false).rows().size(), 2);
        }
    }

    /** Guards against a write that runs twice: whether the old process has executed it is not known. */
    @Test
    public void aWriteOfTheOldProcessIsNotRunByTheNewOne() throws IOException {
        useOnlyEngineOne();
        try (TestingMysqlClient client = client()) {
            one.fault = Fault.CRASH_IN_EXECUTE;
            assertEquals(client.query(WRITE).code(), FAILED_CODE);
            assertEquals(executionCount(WRITE), 1);
            replaceEngineOne();
            Program.await("the new process is used", () -> isServed(client));
            assertEquals(executionCount(WRITE), 0, "executions by the new process");
        }
    }

    private static boolean isServed(TestingMysqlClient client) {
        try {
            return client.query("select rows=1").code() == 0;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Guards against a prepared statement that outlives its client: its id is not known to others. */
    @Test
    public void theStatementIdOfAClientThatHasLeftIsUnknownToOthers() throws IOException {
        TestingMysqlClient.Statement statement;
        try (TestingMysqlClient leaving = client()) {
            statement = leaving.prepare(WRITE);
            assertEquals(leaving.execute(statement, false).code(), 0);
        }
        try (TestingMysqlClient next = client()) {
            assertEquals(next.execute(statement, false).code(), UNKNOWN_STATEMENT_CODE);
        }
        assertEquals(executionCount(WRITE), 1);
    }
}
