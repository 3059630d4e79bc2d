package lineward.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lineward.testing.RunCommand;
import org.testng.annotations.Test;

/** Replies of engines that the program can't keep with the memory of the {@code run} command. */
public class ReplyMemoryTest extends TwoEngineFixture {
    private static final int CLIENTS = 4;
    /** More than the heap of the command. */
    private static final String LONG_HEAD_QUERY = "select columns=1200 size=60000";

    @Override
    Map<String, String> environment() throws IOException {
        return RunCommand.environment();
    }

    /** Guards against column definitions that are buffered whole, whatever their size (review/8). */
    @Test
    public void failsStatementsWhoseColumnsDoNotFit() throws IOException {
        List<TestingMysqlClient> clients = new ArrayList<>();
        try {
            for (int i = 0; i < CLIENTS; i++) {
                TestingMysqlClient client = client();
                clients.add(client);
                byte[] command = MysqlPacketSocket.encode(3, LONG_HEAD_QUERY);
                client.packets
                        .socket
                        .getOutputStream()
                        .write(MysqlPacketSocket.encode(command.length, 0, 0, 0, command));
            }
            for (TestingMysqlClient client : clients) {
                byte[] reply = client.packets.read();
                int code = (reply[1] & 0xff) | (reply[2] & 0xff) << 8;
                assertTrue(Set.of(REJECTED_CODE, FAILED_CODE).contains(code), "error " + code);
            }
            try (TestingMysqlClient other = client()) {
                assertEquals(other.query("select rows=3").rows().size(), 3);
            }
        } finally {
            for (TestingMysqlClient client : clients) {
                client.close();
            }
        }
        String log = RunCommand.logWithoutOptions(program);
        assertFalse(log.contains("OutOf"), log);
    }
}
