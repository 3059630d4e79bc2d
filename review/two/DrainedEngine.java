import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One of six engines takes what it is sent and answers nothing for 8.5 s. Half a second into that, the operator
 * sets its state to gone. From 1 s after that on it must be sent no new statement.
 */
final class DrainedEngine extends Case2 {
    private static final int ENGINES = 6;
    private static final int CLIENTS = 18;
    /** The grace of the rule, 50 ms of the protocol page, and 200 ms in which the program looks at the file. */
    private static final long GRACE_MS = 1000 + 50 + 200;
    private static final long STILL_MS = 8500;

    private final AtomicLong toldAtMs = new AtomicLong(Long.MAX_VALUE);

    public static void main(String[] args) throws Exception {
        run(new DrainedEngine(), args);
    }

    private MysqlEngine2 engine(String name) throws IOException {
        return new MysqlEngine2(name, record) {
            @Override
            void execute(java.io.OutputStream out, String text, boolean binary) throws IOException {
                long sinceToldMs = record.nowMs() - toldAtMs.get();
                if (name.equals("db-1") && sinceToldMs > GRACE_MS) {
                    broken("%s runs a new statement %d ms after it was set to gone: %s", name, sinceToldMs, text);
                }
                FrontEnd2.sleep(100);
                super.execute(out, text, binary);
            }
        };
    }

    @Override
    void play() throws Exception {
        List<MysqlEngine2> engines = new ArrayList<>();
        for (int i = 1; i <= ENGINES; i++) {
            engines.add(engine("db-" + i));
        }
        try (FrontEnd2 frontEnd = new FrontEnd2(root, folder, list(engines, "ready"), record)) {
            List<MysqlClient2> clients = new ArrayList<>();
            List<Integer> statements = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                MysqlClient2 client = new MysqlClient2(frontEnd.mysqlPort, "office", "little-steps");
                client.setTimeoutMs(20_000);
                clients.add(client);
            }
            // Each engine gets connections, as in usual operation.
            for (int round = 0; round < 3; round++) {
                together(clients, (client, number) -> client.query("select 1 from place_" + number));
            }
            for (int i = 0; i < CLIENTS; i++) {
                String text = "insert into term_report_" + i + " values ('filed')";
                statements.add(clients.get(i).prepare(text).id());
            }
            MysqlEngine2 taken = engines.get(0);
            if (trouble) {
                record.line("db-1 stands still");
                taken.setStill(true);
            }
            Thread operator = new Thread(() -> {
                try {
                    FrontEnd2.sleep(500);
                    frontEnd.writeMysqlFile(list(engines, "gone"), "");
                    toldAtMs.set(record.nowMs());
                    record.line("operator sets db-1 to gone");
                    if (trouble) {
                        FrontEnd2.sleep(STILL_MS - 500);
                        record.line("db-1 goes on");
                        taken.setStill(false);
                    }
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            });
            operator.start();
            together(clients, (client, number) -> client.execute(statements.get(number)));
            operator.join();
            FrontEnd2.sleep(1000);
        }
    }

    private interface Step {
        String run(MysqlClient2 client, int number) throws IOException;
    }

    private void together(List<MysqlClient2> clients, Step step) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(clients.size());
        for (int i = 0; i < clients.size(); i++) {
            int number = i;
            FrontEnd2.startDaemon(() -> {
                try {
                    record.line("client %d sends", number);
                    record.line("client %d gets: %s", number, step.run(clients.get(number), number));
                } catch (IOException e) {
                    record.line("client %d gets no answer: %s", number, e);
                } finally {
                    done.countDown();
                }
            });
        }
        done.await();
    }

    private static String list(List<MysqlEngine2> engines, String stateOfFirst) {
        StringBuilder list = new StringBuilder();
        for (int i = 0; i < engines.size(); i++) {
            MysqlEngine2 engine = engines.get(i);
            list.append(FrontEnd2.engine(engine.name, engine.port(), i == 0 ? stateOfFirst : "ready"));
        }
        return list.toString();
    }
}
