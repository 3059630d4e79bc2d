import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A bad client sends large parameters of prepared statements, 60 MB in all, and never executes these. Usual
 * clients run place checks beside it, each on a connection of its own that it keeps.
 */
final class LongData extends Case2 {
    private static final int BAD_CLIENTS = 1;
    private static final int BAD_MB = 60;
    /** Bytes of a part of a parameter. */
    private static final int CHUNK = 1_000;
    /** Parts of a parameter of one megabyte. */
    private static final int PARTS = 1_000;
    private static final int USUAL = 8;
    private static final int DEADLINE_MS = 2500;
    private static final int LATEST_MS = DEADLINE_MS + 500 + 50;
    private static final long PLAY_MS = 20_000;

    private final AtomicInteger asked = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        run(new LongData(), args);
    }

    @Override
    void play() throws Exception {
        MysqlEngine2 first = new MysqlEngine2("db-1", record);
        MysqlEngine2 second = new MysqlEngine2("db-2", record);
        String engines = FrontEnd2.engine("db-1", first.port(), "ready")
                + FrontEnd2.engine("db-2", second.port(), "ready");
        try (FrontEnd2 frontEnd = new FrontEnd2(root, folder, engines, record)) {
            Thread[] usual = new Thread[USUAL];
            long endMs = record.nowMs() + PLAY_MS;
            for (int i = 0; i < USUAL; i++) {
                int number = i;
                usual[i] = new Thread(() -> usualClient(frontEnd.mysqlPort, number, endMs));
                usual[i].start();
            }
            FrontEnd2.sleep(1000);
            if (trouble) {
                for (int i = 0; i < BAD_CLIENTS; i++) {
                    int number = i;
                    FrontEnd2.startDaemon(() -> badClient(frontEnd.mysqlPort, number, endMs));
                }
            }
            for (Thread client : usual) {
                client.join();
            }
            record.line("usual clients asked %d, answered %d", asked.get(), answered.get());
            record.line("front end alive: %s; %s", frontEnd.isAlive(), firstError(frontEnd.log()));
            if (!frontEnd.isAlive()) {
                broken("the front end has crashed");
            }
        }
    }

    private static String firstError(String log) {
        return log.lines().filter(line -> line.contains("OutOfMemoryError")).findFirst().orElse("");
    }

    private void usualClient(int port, int number, long endMs) {
        MysqlClient2 client = null;
        while (record.nowMs() < endMs) {
            long sentMs = record.nowMs();
            boolean sent = false;
            try {
                if (client == null) {
                    client = new MysqlClient2(port, "office", "little-steps");
                    client.setTimeoutMs(LATEST_MS + 500);
                }
                sentMs = record.nowMs();
                sent = true;
                asked.incrementAndGet();
                String reply = client.query("select 1 from place_" + number);
                answered.incrementAndGet();
                long tookMs = record.nowMs() - sentMs;
                if (tookMs > LATEST_MS) {
                    broken("usual client %d got its answer after %d ms: %s", number, tookMs, reply);
                }
            } catch (IOException e) {
                long tookMs = record.nowMs() - sentMs;
                if (sent) {
                    broken("usual client %d got no answer, after %d ms: %s", number, tookMs, e);
                } else {
                    record.line("usual client %d could not connect: %s", number, e);
                }
                try {
                    if (client != null) client.close();
                } catch (IOException ignored) {
                    // The connection is closed already.
                }
                client = null;
                FrontEnd2.sleep(2000);
            }
            FrontEnd2.sleep(50);
        }
    }

    private void badClient(int port, int number, long endMs) {
        while (record.nowMs() < endMs) {
            try (MysqlClient2 client = new MysqlClient2(port, "office", "little-steps")) {
                client.setTimeoutMs(5000);
                byte[] chunk = new byte[6 + CHUNK];
                for (int i = 0; i < BAD_MB; i++) {
                    int id = client.prepare("select " + i + " from place where id = ?").id();
                    System.arraycopy(Packets2.int32(id), 0, chunk, 0, 4);
                    for (int part = 0; part < PARTS; part++) {
                        client.send(Packets2.LONG_DATA, chunk);
                    }
                }
                record.line("bad client %d has sent %d MB and waits", number, BAD_MB);
                client.readPacket();
            } catch (IOException e) {
                record.line("bad client %d was turned away: %s", number, e);
                FrontEnd2.sleep(1000);
            }
        }
    }
}
