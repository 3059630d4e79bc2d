import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Usual clients, and bad ones: some whose messages never end, some that send many requests at once. All of them
 * together hold under a third of the descriptors. Only the usual clients' requests are judged.
 */
final class BadClients {
    private static final int MEMORY_MB = 192;
    private static final int SOCKETS = 1024;
    private static final int USUAL = 30;
    private static final int ENDLESS = 280;
    private static final int FLOODS = 30;
    private static final int REQUESTS_AT_ONCE = 32;
    private static final int TROUBLE_MS = 15_000;
    private static volatile boolean troubleEnded;

    public static void main(String[] args) {
        Case.main(args, BadClients::run);
    }

    private static int run(Path root, boolean trouble) throws Exception {
        // Results of 48,000 bytes, about 100 requests a second.
        Engine.rows = 480;
        UsualClient.statementBytes = 40_000;
        Journal journal = new Journal();
        List<String> instances = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            Engine engine = new Engine("s-" + i);
            instances.add(Journal.instance("s-" + i, engine.port(), "floor-" + (i % 2 + 1), "std-8core", "ready"));
        }
        journal.publish(true, instances);
        try (FrontEnd frontEnd = new FrontEnd(
                root, Site.SETTINGS, journal.after(0), journal.port(), MEMORY_MB, SOCKETS, "")) {
            frontEnd.awaitReady();
            List<UsualClient> clients = new ArrayList<>();
            for (int i = 0; i < USUAL; i++) {
                clients.add(new UsualClient(frontEnd.port, i, 300));
            }
            Thread.sleep(5000);
            say(frontEnd, "before the trouble");
            for (int i = 0; i < ENDLESS && trouble; i++) {
                Journal.start(() -> endless(frontEnd.port));
            }
            for (int i = 0; i < FLOODS && trouble; i++) {
                Journal.start(() -> flood(frontEnd.port));
            }
            for (int i = 0; i < 5; i++) {
                Thread.sleep(TROUBLE_MS / 5);
                clients.forEach(UsualClient::checkOverdue);
                say(frontEnd, "during the trouble");
            }
            troubleEnded = true;
            Thread.sleep(5000);
            UsualClient.stop();
            for (int i = 0; i < 34; i++) {
                Thread.sleep(500);
                clients.forEach(UsualClient::checkOverdue);
            }
            say(frontEnd, "at the end");
            Record.line(frontEnd.log().lines().limit(300).reduce("", (a, b) -> a + "\n" + b));
            return UsualClient.lost() > 0 || !frontEnd.isAlive() ? 1 : 0;
        }
    }

    private static void say(FrontEnd frontEnd, String when) {
        Record.say(when + ": " + UsualClient.counts() + "; the front end runs: " + frontEnd.isAlive() + ", "
                + frontEnd.status("VmRSS"));
    }

    /** Sends the most of a message, and waits for the end of the connection. */
    private static void endless(int port) {
        while (!troubleEnded) {
            try (Client client = new Client(port)) {
                byte[] bytes = new byte[65_500];
                bytes[2] = (byte) 0xff;
                bytes[3] = (byte) 0xfc;
                client.write(bytes);
                client.socket.getInputStream().read();
            } catch (Exception e) {
                // Turned away: the same again.
            }
            pause();
        }
    }

    /** Sends 32 requests at once, reads what comes for 2 s, goes, and does the same again. */
    private static void flood(int port) {
        Random random = new Random();
        String statement = "select a, b, c from places_1.entries where id in (" + "1,".repeat(30_000) + "1)";
        while (!troubleEnded) {
            try (Client client = new Client(port)) {
                Journal.start(() -> {
                    try {
                        while (client.socket.getInputStream().read() >= 0) {
                            // Reads whatever is sent.
                        }
                    } catch (Exception e) {
                        // Closed.
                    }
                });
                for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
                    Map<String, String> fields = Map.of(
                            "op", "term-report", "call", String.format("%016x", random.nextLong()), "ttl", "15000",
                            "org", "western-branches", "work", "3000.0", "mem", "240");
                    client.write(Client.invoke(client.nextSeq(), fields, statement));
                }
                Thread.sleep(2000);
            } catch (Exception e) {
                // Turned away: the same again.
            }
            pause();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
