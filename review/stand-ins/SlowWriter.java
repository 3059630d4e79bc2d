import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Clients with a report open write their next request slowly, on the same connection. A request whose connection ends
 * without its answer is lost.
 */
final class SlowWriter {
    private static final int CLIENTS = 6;
    private static final int ROUNDS = 4;
    private static int lost;
    private static int answered;

    public static void main(String[] args) {
        Case.main(args, SlowWriter::run);
    }

    private static int run(Path root, boolean trouble) throws Exception {
        int writeMs = trouble ? 2000 : 0;
        Journal journal = new Journal();
        List<String> instances = new ArrayList<>();
        for (int i = 1; i <= 6; i++) {
            Engine engine = new Engine("s-" + i);
            engine.workMs.put("term-report", 4000);
            instances.add(Journal.instance("s-" + i, engine.port(), "floor-" + (i % 2 + 1), "std-8core", "ready"));
        }
        journal.publish(true, instances);
        try (FrontEnd frontEnd =
                new FrontEnd(root, Site.SETTINGS, journal.after(0), journal.port(), 192, 1024, "")) {
            frontEnd.awaitReady();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Thread thread = new Thread(() -> {
                    for (int round = 0; round < ROUNDS; round++) {
                        round(frontEnd.port, number, round, writeMs);
                    }
                });
                thread.start();
                threads.add(thread);
            }
            for (Thread thread : threads) {
                thread.join();
            }
            Record.say("answered " + answered + ", lost " + lost + ", the front end runs: " + frontEnd.isAlive());
            Record.line(frontEnd.log());
        }
        return lost > 0 ? 1 : answered == 2 * CLIENTS * ROUNDS ? 0 : 2;
    }

    private static void round(int port, int number, int round, int writeMs) {
        Map<Integer, String> open = new LinkedHashMap<>();
        String name = "client " + number + " round " + round + ": ";
        try (Client client = new Client(port)) {
            Random random = new Random();
            String report = String.format("%016x", random.nextLong());
            int seq = client.nextSeq();
            open.put(seq, "term-report " + report);
            client.write(Client.invoke(seq, fields("term-report", report, 15000), "select a, b, c from places_3.terms"));
            Record.line(name + "sends term-report " + report);
            Thread.sleep(200);
            String check = String.format("%016x", random.nextLong());
            byte[] frame = Client.invoke(client.nextSeq(), fields("term-report", check, 15000), "select a, b, c from places_3.terms where b = 2");
            Record.line(name + "begins to write term-report " + check + ", " + frame.length + " bytes in " + writeMs + " ms");
            int pieces = writeMs / 200;
            int done = 0;
            for (int piece = 1; piece <= pieces; piece++) {
                int until = (frame.length - 1) * piece / pieces;
                client.write(java.util.Arrays.copyOfRange(frame, done, until));
                done = until;
                Thread.sleep(200);
            }
            client.write(java.util.Arrays.copyOfRange(frame, done, frame.length));
            open.put(seq + 1, "term-report " + check);
            Record.line(name + "has written term-report " + check);
            client.socket.setSoTimeout(16_000);
            while (!open.isEmpty()) {
                Client.Answer answer = client.read();
                Record.line(name + answer.kind() + " " + open.remove(answer.seq()));
                synchronized (SlowWriter.class) {
                    answered++;
                }
            }
        } catch (IOException | InterruptedException e) {
            synchronized (SlowWriter.class) {
                lost += open.size();
            }
            Record.say(name + "LOST " + open.values() + ": the connection ended: " + e);
        }
    }

    private static Map<String, String> fields(String type, String id, int ttl) {
        return Map.of("op", type, "call", id, "ttl", "" + ttl, "org", "western-branches", "work", "3000.0", "mem", "64");
    }
}
