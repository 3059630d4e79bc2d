package lineward.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import lineward.mysql.TestingMysqlEngine.Fault;
import lineward.testing.Program;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The MySQL front end as a child process, with test clients and test engines. */
public class MysqlServerTest extends TwoEngineFixture {
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
    public void authenticates(String plugin, String password, String schema, int code) throws IOException {
        try (TestingMysqlClient client = new TestingMysqlClient(program.port(), plugin, password, schema)) {
            assertEquals(client.loginResult.code(), code);
        }
    }

    @Test
    public void executesTextAndPreparedStatements() throws IOException {
        try (TestingMysqlClient client = client()) {
            assertEquals(client.query("select rows=3").rows().size(), 3);
            assertEquals(client.query("syntax error").code(), 1064);
            TestingMysqlClient.Statement statement = client.prepare("select rows=2 where a = ? and b = ?");
            assertEquals(statement.parameterCount(), 2);
            assertEquals(client.execute(statement, true, "x", "y").rows().size(), 2);
            assertEquals(client.execute(statement, false, "x", "z").rows().size(), 2);
            assertEquals(client.command(0x1a, statement.id()).code(), 0);
            client.send(0x19, statement.id());
            assertEquals(client.execute(statement, false, "x", "z").code(), 1243);
            assertEquals(client.command(0x0e).code(), 0);
        }
        // The client sent no parameter types with the second execution, so the program must add them.
        String lastExecution = one.commands.stream()
                .filter(command -> command.startsWith("execute"))
                .reduce((a, b) -> b)
                .orElseGet(() -> two.commands.stream()
                        .filter(command -> command.startsWith("execute"))
                        .reduce((a, b) -> b)
                        .orElseThrow());
        assertTrue(lastExecution.startsWith("execute [0, 1, 0, 0, 0, 0, 1, -3, 0, -3, 0,"), lastExecution);
    }

    @Test
    public void sendsLongDataBeforeTheExecution() throws IOException {
        try (TestingMysqlClient client = client()) {
            TestingMysqlClient.Statement statement = client.prepare("insert into t values (?)");
            client.send(0x18, statement.id(), 0, 0, "piece one,");
            client.send(0x18, statement.id(), 0, 0, "piece two");
            assertEquals(client.execute(statement, true, "").code(), 0);
            // The parts of one parameter are joined.
            String longData = "long 100 piece one,piece two";
            assertTrue(one.commands.contains(longData) || two.commands.contains(longData));
        }
    }

    @Test
    public void sendsNoStatementsToADrainingEngine() throws IOException {
        try (TestingMysqlClient client = client()) {
            client.query("select rows=1");
            writeConfig("draining", "ready");
            Program.await("the program drains the engine", () -> program.log().contains("one DRAINING"));
            int executedBefore = one.executedTexts.size();
            for (int i = 0; i < 20; i++) {
                assertEquals(client.query("select rows=1").rows().size(), 1);
            }
            assertEquals(one.executedTexts.size(), executedBefore);
            writeConfig("draining", "gone");
            Program.await(
                    "no engine accepts statements", () -> selectOneRow(client).code() == REJECTED_CODE);
        }
    }

    private static TestingMysqlClient.Result selectOneRow(TestingMysqlClient client) {
        try {
            return client.query("select rows=1");
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    @DataProvider
    public Object[][] sessionStatements() {
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

    @Test(dataProvider = "sessionStatements")
    public void handlesStatementsOnSessionState(String text, int code, String sqlState) throws IOException {
        try (TestingMysqlClient client = client()) {
            TestingMysqlClient.Result result = client.query(text);
            assertEquals(result.code(), code, result.message());
            assertEquals(result.sqlState(), sqlState);
            assertEquals(client.command(2, "sales").code(), 0);
            assertEquals(client.query("select rows=1").code(), 0);
        }
    }

    @Test
    public void reportsProtocolErrors() throws IOException {
        try (TestingMysqlClient client = client()) {
            assertEquals(client.command(0x1c, 1L, 5L).code(), 1243);
            assertEquals(client.command(0x63).code(), 1047);
            TestingMysqlClient.Statement statement = client.prepare("select rows=1");
            assertEquals(client.command(0x17, statement.id(), 2, 1L).code(), 1210);
            assertEquals(client.query("x".repeat(100_001)).code(), 1153);
        }
    }

    @Test
    public void forwardsLongResults() throws IOException {
        try (TestingMysqlClient client = client()) {
            TestingMysqlClient.Result result = client.query("select rows=30000");
            assertEquals(result.rows().size(), 30000);
            assertNotEquals(result.rows().get(29999).length, 0);
        }
    }

    @Test
    public void answersRunningStatementsAfterSigterm() throws IOException, InterruptedException {
        one.fault = Fault.SILENT;
        two.fault = Fault.SILENT;
        try (TestingMysqlClient client = client()) {
            client.send(3, "select rows=1");
            Program.await("an engine executes the statement", () -> executionCount("select rows=1") == 1);
            program.sendSigterm();
            assertEquals(client.packets.read()[0] & 0xff, 0xff);
            assertEquals(program.awaitExitStatus(), 0);
        }
    }
}
