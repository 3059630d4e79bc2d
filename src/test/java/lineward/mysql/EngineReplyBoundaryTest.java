package lineward.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import lineward.mysql.TestingMysqlEngine.ReplyDefect;
import lineward.mysql.TestingMysqlEngine.Step;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * One of two engines sends more than the reply to a command, or a result in place of an OK. No client gets
 * any of it: each statement has its own rows or is rejected.
 */
public class EngineReplyBoundaryTest extends TwoEngineFixture {
    private static final int CLIENTS = 3;
    private static final int ROUNDS = 8;

    /** The steps of a connection, with the defects that their replies can have. */
    @DataProvider
    public Object[][] defects() {
        return new Object[][] {
            {Step.LOGIN, ReplyDefect.SENT_TWICE},
            {Step.LOGIN, ReplyDefect.PARTIAL_PACKET_BEHIND},
            {Step.SETTINGS, ReplyDefect.SENT_TWICE},
            {Step.SETTINGS, ReplyDefect.RESULT_INSTEAD},
            {Step.SETTINGS, ReplyDefect.PARTIAL_PACKET_BEHIND},
            {Step.SCHEMA, ReplyDefect.SENT_TWICE},
            {Step.SCHEMA, ReplyDefect.RESULT_INSTEAD},
            {Step.SCHEMA, ReplyDefect.PARTIAL_PACKET_BEHIND},
            {Step.PREPARATION, ReplyDefect.SENT_TWICE},
            {Step.PREPARATION, ReplyDefect.RESULT_INSTEAD},
            {Step.PREPARATION, ReplyDefect.PARTIAL_PACKET_BEHIND},
            {Step.EXECUTION, ReplyDefect.SENT_TWICE},
            {Step.EXECUTION, ReplyDefect.PARTIAL_PACKET_BEHIND}
        };
    }

    /**
     * Guards against rows of another client's statement after an engine's duplicate reply (review/1, issue
     * 33).
     */
    @Test(dataProvider = "defects")
    public void noClientGetsWhatFollowsAReply(Step step, ReplyDefect defect) throws IOException {
        if (step == Step.LOGIN) {
            setDefectOfOne(step, defect);
        }
        List<TestingMysqlClient> clients = new ArrayList<>();
        List<TestingMysqlClient.Statement> statements = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            TestingMysqlClient client = client();
            clients.add(client);
            assertEquals(client.query("set sql_mode = 'MODE" + i % 2 + "'").code(), 0);
            assertEquals(client.query("use schema" + i % 2).code(), 0);
            statements.add(client.prepare("select rows=1 prepared by " + i));
        }
        setDefectOfOne(step, defect);
        int served = 0;
        for (int round = 0; round < ROUNDS; round++) {
            for (int i = 0; i < CLIENTS; i++) {
                String text = "select rows=1 of client " + i + " round " + round;
                served += countServed(clients.get(i).query(text), text);
                String prepared = "select rows=1 prepared by " + i;
                served += countServed(clients.get(i).execute(statements.get(i), false), prepared);
            }
        }
        assertTrue(served > CLIENTS * ROUNDS, served + " of " + 2 * CLIENTS * ROUNDS + " statements served");
        for (TestingMysqlClient client : clients) {
            client.close();
        }
    }

    private void setDefectOfOne(Step step, ReplyDefect defect) {
        one.defectiveStep = step;
        one.replyDefect = defect;
    }

    /** Returns 1 if the statement has its own row and 0 if it was rejected or failed. */
    private static int countServed(TestingMysqlClient.Result result, String text) {
        if (result.code() != 0) {
            assertTrue(result.code() == REJECTED_CODE || result.code() == FAILED_CODE, result.message());
            return 0;
        }
        assertEquals(result.rows().size(), 1, "rows of: " + text);
        String row = new String(result.rows().get(0), StandardCharsets.UTF_8);
        assertTrue(row.endsWith("row 0 of " + text), "answer to '" + text + "': " + row);
        return 1;
    }
}
