import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The journal service takes 5.5 s for each answer. One of six engines begins to drain. What the journal tells counts
 * as told after 7 s; from 1 s after that on the engine must be sent nothing new.
 */
final class SlowJournal extends Case2 {
    private static final int ENGINES = 6;
    private static final int CLIENTS = 4;
    private static final long DELAY_MS = 5500;
    private static final long DRAIN_AT_MS = 8000;
    /** The time after which the journal's word counts as told, the grace, and 50 ms of the protocol page. */
    private static final long LATEST_MS = 7000 + 1000 + 50;
    private static final long PLAY_MS = 36_000;

    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private volatile long drainedAtMs = Long.MAX_VALUE;

    public static void main(String[] args) throws Exception {
        run(new SlowJournal(), args);
    }

    @Override
    void play() throws Exception {
        List<LineEngine2> engines = new ArrayList<>();
        List<String> instances = new ArrayList<>();
        for (int i = 1; i <= ENGINES; i++) {
            LineEngine2 engine = new LineEngine2("s-0000000" + i) {
                @Override
                void arrived(String id) {
                    long sinceMs = record.nowMs() - drainedAtMs;
                    if (name.equals("s-00000001") && sinceMs > LATEST_MS) {
                        late.incrementAndGet();
                        broken("%s drains and is sent %s, %d ms after the journal's event", name, id, sinceMs);
                    }
                }
            };
            engines.add(engine);
            instances.add(engine.instance("ready"));
        }
        try (Journal2 journal = new Journal2(String.join(",", instances))) {
            if (trouble) {
                journal.setDelayMs(DELAY_MS);
            }
            try (FrontEnd2 frontEnd = new FrontEnd2(root, folder, journal, record)) {
                Thread[] clients = new Thread[CLIENTS];
                for (int i = 0; i < CLIENTS; i++) {
                    clients[i] = new Thread(() -> ask(frontEnd.thriftPort));
                    clients[i].start();
                }
                FrontEnd2.sleep(DRAIN_AT_MS);
                journal.add(false, engines.get(0).instance("draining"));
                drainedAtMs = record.nowMs();
                record.line("journal: s-00000001 drains");
                for (Thread client : clients) {
                    client.join();
                }
                record.line("%d requests served, %d sent to the engine that drains", served.get(), late.get());
                frontEnd.log().lines().filter(line -> line.contains("discovery")).limit(3)
                        .forEach(line -> record.line("log: %s", line));
            }
        }
    }

    private void ask(int port) {
        try (ThriftClient2 client = new ThriftClient2(port)) {
            client.setTimeoutMs(5000);
            while (record.nowMs() < PLAY_MS) {
                client.send(client.request("place-check", 2500, 80, "select * from sales_17.orders"));
                if (client.read().kind().equals("served")) {
                    served.incrementAndGet();
                }
                FrontEnd2.sleep(30);
            }
        } catch (IOException e) {
            record.line("a client's connection ended: %s", e);
        }
    }
}
