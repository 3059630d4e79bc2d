import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A client prepares eight one-row inserts and executes each once, then prepares and executes one insert of 1,000
 * rows. Before that, the engines close connections that have been idle for five seconds. Each engine must run what the client sent and nothing else, and "ok" is only for what has run.
 */
final class WrongStatement extends Case2 {
    private static final int TABLES = 8;
    private static final int ROWS = 1000;
    private static final int IDLE_MS = 5000;

    private final List<String> runs = new CopyOnWriteArrayList<>();

    public static void main(String[] args) throws Exception {
        run(new WrongStatement(), args);
    }

    private MysqlEngine2 engine(String name) throws IOException {
        return new MysqlEngine2(name, record) {
            @Override
            void execute(java.io.OutputStream out, String text, boolean binary) throws IOException {
                runs.add(text);
                super.execute(out, text, binary);
            }
        };
    }

    @Override
    void play() throws Exception {
        MysqlEngine2 first = engine("db-1");
        MysqlEngine2 second = engine("db-2");
        String engines = FrontEnd2.engine("db-1", first.port(), "ready")
                + FrontEnd2.engine("db-2", second.port(), "ready");
        try (FrontEnd2 frontEnd = new FrontEnd2(root, folder, engines, record);
                MysqlClient2 client = new MysqlClient2(frontEnd.mysqlPort, "office", "little-steps")) {
            client.setTimeoutMs(20_000);
            Map<String, Integer> expected = new TreeMap<>();
            int[] ids = new int[TABLES];
            for (int i = 0; i < TABLES; i++) {
                String text = "insert into place_record_" + (i + 1) + " values (?, ?, ?)";
                ids[i] = client.prepare(text).id();
                record.line("client prepares as %d: %s", ids[i], text);
            }
            for (int i = 0; i < TABLES; i++) {
                String text = "insert into place_record_" + (i + 1) + " values (?, ?, ?)";
                String reply = client.execute(ids[i], new String[] {"child " + i, "term 1", "floor-1"});
                record.line("client executes %d once: %s", ids[i], reply);
                require(reply.equals("ok"), "the usual insert was not answered: " + reply);
                expected.merge(text, 1, Integer::sum);
            }
            FrontEnd2.sleep(IDLE_MS);
            if (trouble) {
                first.closeIdleConnections();
                second.closeIdleConnections();
            }
            FrontEnd2.sleep(200);
            String bulk = "insert into enrolment values " + "(?, ?, ?), ".repeat(ROWS - 1) + "(?, ?, ?)";
            MysqlClient2.Statement statement = client.prepare(bulk);
            record.line(
                    "client prepares as %d, %d parameters: %s", statement.id(), statement.parameters(), bulk);
            String[] values = new String[3 * ROWS];
            for (int i = 0; i < values.length; i++) {
                values[i] = "value " + i;
            }
            String reply = client.execute(statement.id(), values);
            record.line("client executes %d once: %s", statement.id(), reply);
            Map<String, Integer> ran = new TreeMap<>();
            runs.forEach(text -> ran.merge(text, 1, Integer::sum));
            if (reply.equals("ok") && !ran.containsKey(bulk)) {
                broken("the client got 'ok' for the insert of %d rows, which no engine ran", ROWS);
            }
            expected.put(bulk, 1);
            ran.forEach((text, times) -> {
                if (times > expected.getOrDefault(text, 0)) {
                    broken("ran %d times, sent %d times: %s", times, expected.getOrDefault(text, 0), text);
                }
            });
        }
    }

    private static void require(boolean holds, String message) {
        if (!holds) {
            throw new IllegalStateException(message);
        }
    }
}
