package lineward.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import lineward.testing.Program;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Cursors and pages of results with a key, with the program, test clients and test engines. */
public class SpoolCursorTest extends SpoolProgramFixture {
    private static final int CURSOR_EXISTS = 0x40;
    private static final int LAST_ROW_SENT = 0x80;

    @Test
    public void fetchesPagesWithoutAnEngine() throws IOException {
        try (TestingMysqlClient client = client()) {
            TestingMysqlClient.Statement statement = client.prepare("select rows=2500");
            assertEquals(client.openCursor(statement).status() & CURSOR_EXISTS, CURSOR_EXISTS);
            one.crash();
            two.crash();
            int received = 0;
            TestingMysqlClient.CursorReply page;
            do {
                page = client.fetch(statement, 100);
                for (byte[] row : page.rows()) {
                    assertTrue(new String(row, StandardCharsets.UTF_8).contains("row " + received + " of"));
                    received++;
                }
            } while ((page.status() & LAST_ROW_SENT) == 0 && page.code() == 0);
            assertEquals(received, 2500);
            assertEquals(client.fetch(statement, 100).code(), 1421, "past the end");
        }
    }

    @Test
    public void closesOneOfSeveralCursorsByResetCloseAndExecution() throws IOException {
        try (TestingMysqlClient client = client()) {
            TestingMysqlClient.Statement a = client.prepare("select rows=10");
            TestingMysqlClient.Statement noRows = client.prepare("select rows=0");
            TestingMysqlClient.Statement b = client.prepare("select rows=5000");
            client.openCursor(a);
            client.openCursor(b);
            client.openCursor(noRows);
            assertEquals(client.fetch(a, 4).rows().size(), 4);
            assertEquals(client.fetch(b, 4000).rows().size(), 4000);
            assertEquals(client.fetch(noRows, 4).status() & LAST_ROW_SENT, LAST_ROW_SENT);
            TestingMysqlClient.CursorReply remaining = client.fetch(a, 100);
            assertEquals(remaining.rows().size(), 6);
            assertEquals(remaining.status() & LAST_ROW_SENT, LAST_ROW_SENT);
            assertEquals(client.command(0x1a, b.id()).code(), 0);
            assertEquals(client.fetch(b, 1).code(), 1421, "reset");
            client.openCursor(b);
            assertEquals(client.execute(b, false).rows().size(), 5000);
            assertEquals(client.fetch(b, 1).code(), 1421, "another execution");
            client.openCursor(b);
            client.send(0x19, b.id());
            assertEquals(client.fetch(b, 1).code(), 1243, "closed");
        }
    }

    @Test
    public void reportsTheErrorOfAnExecutionWithACursor() throws IOException {
        try (TestingMysqlClient client = client()) {
            TestingMysqlClient.Statement statement = client.prepare("select syntax");
            assertEquals(client.openCursor(statement).code(), 1064);
            assertEquals(client.fetch(statement, 1).code(), 1421);
            assertEquals(client.query("select rows=1").rows().size(), 1);
        }
    }

    /**
     * Results that are spooled completely before the client reads, and results that it reads while they
     * arrive.
     */
    @DataProvider
    public Object[][] resultSizes() {
        return new Object[][] {{"select rows=500", 500}, {"select rows=20000 size=2000", 20_000}};
    }

    /**
     * Guards against a result that an engine's error cuts off and that a cursor reports as complete
     * (review/2).
     */
    @Test(dataProvider = "resultSizes")
    public void reportsAnErrorAfterSomeRowsToACursor(String text, int rowCount) throws IOException {
        setFault(TestingMysqlEngine.Fault.ERROR_BETWEEN_ROWS);
        try (TestingMysqlClient client = client()) {
            TestingMysqlClient.Statement statement = client.prepare(text);
            TestingMysqlClient.CursorReply reply = client.openCursor(statement);
            int received = 0;
            while (reply.code() == 0 && (reply.status() & LAST_ROW_SENT) == 0) {
                reply = client.fetch(statement, 100);
                received += reply.rows().size();
            }
            assertEquals(reply.code(), 1317, received + " of " + rowCount + " rows, reported as all");
            assertTrue(received <= rowCount / 2, received + " rows before the error");
            assertEquals(client.fetch(statement, 1).code(), 1421, "the error closes the cursor");
            setFault(TestingMysqlEngine.Fault.NONE);
            assertEquals(client.query("select rows=7").rows().size(), 7, "the session is still usable");
            assertEquals(client.execute(statement, false).rows().size(), rowCount);
        }
    }

    /**
     * A result with a key that an engine's error cuts off is not stored: the next request executes it again.
     */
    @Test(dataProvider = "resultSizes")
    public void doesNotKeepAResultThatEndsInAnError(String text, int rowCount) throws IOException {
        String keyed = "/* lineward:key=k */ " + text;
        setFault(TestingMysqlEngine.Fault.ERROR_BETWEEN_ROWS);
        try (TestingMysqlClient client = client()) {
            assertEquals(client.query(keyed).code(), 1317);
            setFault(TestingMysqlEngine.Fault.NONE);
            TestingMysqlClient.Result page = client.query("/* lineward:key=k from=0 rows=9999 */ " + text);
            assertEquals(page.code(), 1210, page.rows().size() + " rows of a result that is cut off");
            assertEquals(client.query(keyed).rows().size(), rowCount);
            assertEquals(executionCount(), 2);
        }
    }

    private void setFault(TestingMysqlEngine.Fault fault) {
        one.fault = fault;
        two.fault = fault;
    }

    @Test
    public void answersPagesOfAResultWithAKeyFromTheSpool() throws IOException {
        String text = " select rows=1000";
        try (TestingMysqlClient client = client()) {
            assertEquals(client.query("/* lineward:key=k1 */" + text).rows().size(), 1000);
            assertEquals(client.query("/* lineward:key=k1 */" + text).rows().size(), 1000);
        }
        try (TestingMysqlClient client = client()) {
            TestingMysqlClient.Result page = client.query("/* lineward:key=k1 from=200 rows=100 */" + text);
            assertEquals(page.rows().size(), 100);
            assertTrue(new String(page.rows().get(0), StandardCharsets.UTF_8).contains("row 200 of"));
            assertEquals(
                    client.query("/* lineward:key=k1 from=990 */" + text).rows().size(), 10);
            assertEquals(
                    client.query("/* lineward:key=k1 from=1000 */" + text)
                            .rows()
                            .size(),
                    0);
            String otherText = "/* lineward:key=k1 from=1 */ select rows=7";
            TestingMysqlClient.Statement statement = client.prepare(otherText);
            assertEquals(client.openCursor(statement).code(), 1210, "the key belongs to another statement");
            assertEquals(executionCount(), 1);
        }
        try (TestingMysqlClient otherUser = client("other")) {
            TestingMysqlClient.Result foreign = otherUser.query("/* lineward:key=k1 from=200 */" + text);
            TestingMysqlClient.Result unknown = otherUser.query("/* lineward:key=k9 from=200 */" + text);
            assertEquals(foreign.code(), 1210);
            assertEquals(foreign.message(), unknown.message(), "the error does not reveal which keys exist");
            assertEquals(otherUser.query("/* lineward:key=k1 */" + text).rows().size(), 1000);
            assertEquals(executionCount(), 2);
        }
    }

    @Test
    public void keepsAResultWithAKeyAcrossAKill() throws IOException {
        String text = " select rows=3000 size=100";
        try (TestingMysqlClient client = client()) {
            assertEquals(client.query("/* lineward:key=k */" + text).rows().size(), 3000);
        }
        Program.await("the result is stored in a file", () -> {
            try {
                return lineward.spool.store.SpoolFolder.inspect(spoolFolder)
                                .complete()
                                .size()
                        == 1;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        program.close();
        program = program("folder = \"" + spoolFolder + "\"\n");
        try (TestingMysqlClient client = client()) {
            assertEquals(
                    client.query("/* lineward:key=k from=2000 rows=50 */" + text)
                            .rows()
                            .size(),
                    50);
            assertEquals(executionCount(), 1);
        }
    }

    @Test
    public void letsClientsReadOpenCursorsAfterSigterm() throws IOException, InterruptedException {
        try (TestingMysqlClient client = client()) {
            TestingMysqlClient.Statement statement = client.prepare("select rows=300");
            client.openCursor(statement);
            program.sendSigterm();
            Program.await("the shutdown begins", () -> program.log().contains("SIGTERM"));
            assertEquals(client.fetch(statement, 100).rows().size(), 100);
            assertEquals(client.fetch(statement, 300).rows().size(), 200);
            assertEquals(program.awaitExitStatus(), 0);
        }
    }
}
