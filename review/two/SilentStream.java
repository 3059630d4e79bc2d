import java.io.IOException;
import java.io.OutputStream;
import java.net.SocketTimeoutException;

/**
 * The machine of one of six engines vanishes amid a place check's rows: its connections stay open and silent, and
 * new ones get no greeting. It is back after 20 s for new connections. The client waits for 2.5 s, and must have its
 * final answer half a second later at the latest, and so for its next statement on the same connection.
 */
final class SilentStream extends Case2 {
    private static final int ENGINES = 6;
    private static final int BACK_AFTER_MS = 20_000;
    private static final int DEADLINE_MS = 2500;
    private static final int LATEST_MS = DEADLINE_MS + 500 + 50;
    private static final int WATCH_MS = 25_000;
    private static final String LEASE = "[spool]\nlease-s = 10\n\n";

    public static void main(String[] args) throws Exception {
        run(new SilentStream(), args);
    }

    private MysqlEngine2 engine(String name) throws IOException {
        return new MysqlEngine2(name, record) {
            @Override
            void execute(OutputStream out, String text, boolean binary) throws IOException {
                if (!text.contains("place_list")) {
                    super.execute(out, text, binary);
                    return;
                }
                int sequence = writeHead(out, 1);
                byte[] value = ("ran " + text + " ".repeat(400)).getBytes();
                for (int row = 0; row < 340; row++) {
                    Packets2.write(out, sequence++, row(1, value, binary));
                    if (row % 20 == 19) {
                        out.flush();
                        FrontEnd2.sleep(100);
                    }
                }
                out.flush();
                if (trouble) {
                    record.line("%s vanishes", name);
                    setStill(true);
                    FrontEnd2.sleep(BACK_AFTER_MS);
                    record.line("%s is back for new connections", name);
                    setStill(false);
                    FrontEnd2.sleep(120_000);
                }
                Packets2.write(out, sequence, Packets2.eof());
            }
        };
    }

    @Override
    void play() throws Exception {
        StringBuilder engines = new StringBuilder();
        for (int i = 1; i <= ENGINES; i++) {
            engines.append(FrontEnd2.engine("db-" + i, engine("db-" + i).port(), "ready"));
        }
        try (FrontEnd2 frontEnd = new FrontEnd2(root, folder, engines.toString(), LEASE, record);
                MysqlClient2 client = new MysqlClient2(frontEnd.mysqlPort, "office", "little-steps")) {
            record.line("client gets: %s", client.query("select 1"));
            client.setTimeoutMs(WATCH_MS);
            ask(client, "select * from place_list");
            ask(client, "select 2");
        }
    }

    private void ask(MysqlClient2 client, String statement) throws IOException {
        long sentMs = record.nowMs();
        record.line("client sends: %s", statement);
        try {
            String reply = client.query(statement);
            long tookMs = record.nowMs() - sentMs;
            record.line("client gets after %d ms: %s", tookMs, reply);
            if (tookMs > LATEST_MS) {
                broken("the final answer came after %d ms", tookMs);
            }
        } catch (SocketTimeoutException e) {
            broken("no final answer, and nothing at all for %d ms", WATCH_MS);
        }
    }
}
