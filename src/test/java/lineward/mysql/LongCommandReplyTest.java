package lineward.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Collections;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Replies of engines that are longer than the buffer for short results, to commands that are no queries. */
public class LongCommandReplyTest extends TwoEngineFixture {
    private static final int FIRST_STATEMENTS = 8;

    /** Numbers of placeholders whose definitions exceed 64 KB. */
    @DataProvider
    public Object[][] placeholders() {
        return new Object[][] {{3000}, {30_000}};
    }

    /**
     * Guards against a long reply to COM_STMT_PREPARE that reaches the client with the engine's statement id,
     * which may be that of another statement of the client (review/7).
     */
    @Test(dataProvider = "placeholders")
    public void executesTheStatementOfALongPreparation(int count) throws IOException {
        String text = "insert into t values (" + String.join(",", Collections.nCopies(count, "?")) + ")";
        String[] values = Collections.nCopies(count, "").toArray(String[]::new);
        try (TestingMysqlClient client = client()) {
            for (int i = 0; i < FIRST_STATEMENTS; i++) {
                client.prepare("insert into t" + i + " values (?)");
            }
            one.resetConnections();
            two.resetConnections();
            TestingMysqlClient.Statement statement = client.prepare(text);
            assertEquals(statement.parameterCount(), count);
            assertEquals(statement.id(), FIRST_STATEMENTS + 1);
            assertEquals(client.execute(statement, true, values).code(), 0);
        }
        assertEquals(executionCount(text), 1);
    }

    /** Guards against a long reply to COM_INIT_DB after which the session's schema stays unchanged. */
    @Test
    public void selectsTheSchemaOfALongReply() throws IOException {
        one.fault = TestingMysqlEngine.Fault.LONG_OK;
        two.fault = TestingMysqlEngine.Fault.LONG_OK;
        try (TestingMysqlClient client = client()) {
            assertEquals(client.command(2, "sales").code(), 0);
            assertEquals(client.query("select rows=1").rows().size(), 1);
        }
        assertTrue(Stream.of(one, two)
                .flatMap(engine -> engine.executions.stream())
                .allMatch(execution -> execution.schema().equals("sales")));
    }
}
