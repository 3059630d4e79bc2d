import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * An engine sends second copies of some of its answers. No client may get rows of another statement, nor an answer
 * that no engine made for its own one.
 */
final class SecondCopy {
    private static final int CLIENTS = 12;
    private static final int RUN_MS = 20_000;
    /** Twice the deadline of the statements' class. */
    private static final int WAIT_MS = 5000;
    private static final Map<String, Integer> COUNTS = new TreeMap<>();
    private static int wrong;

    public static void main(String[] args) {
        Case.main(args, SecondCopy::run);
    }

    private static int run(Path root, boolean trouble) throws Exception {
        try (MysqlSite site = new MysqlSite(root)) {
            site.engines.forEach(engine -> engine.workMs = 40);
            if (trouble) {
                // One engine of six sends a second copy of 30 in 100 of its answers.
                site.engines.get(0).failsOfTen = 3;
                site.engines.get(0).trouble = MysqlEngine.Trouble.SECOND_COPY;
            }
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Thread thread = new Thread(() -> client(site, number));
                thread.start();
                threads.add(thread);
            }
            for (Thread thread : threads) {
                thread.join();
            }
            Record.line(site.frontEnd.log());
        }
        Record.say((wrong > 0 ? "BROKEN: " : "") + "answers: " + COUNTS);
        return wrong > 0 ? 1 : COUNTS.getOrDefault("right", 0) > 1000 ? 0 : 2;
    }

    private static void client(MysqlSite site, int number) {
        int i = 0;
        long until = Record.now() + RUN_MS;
        while (Record.now() < until) {
            try (MysqlClient client = site.client()) {
                // The offices have different time zones, which the front end sets at the engines.
                client.query("SET time_zone = '+0" + number % 6 + ":00'", 5000);
                MysqlClient.Reply reply;
                do {
                    String text = "select a from t where client = " + number + " and n = " + i++;
                    reply = client.query(text, WAIT_MS);
                    check("client " + number, text, reply);
                    Thread.sleep(20);
                } while (Record.now() < until && !reply.end().equals("nothing"));
            } catch (Exception e) {
                count("connection ended");
            }
        }
    }

    private static void check(String name, String text, MysqlClient.Reply reply) {
        Record.line(name + ": " + text + ": " + reply);
        if (reply.isComplete() && reply.lastRow().equals(MysqlEngine.row(text, 0))) {
            count("right");
        } else if (reply.isComplete() && reply.rows() == 0) {
            wrong(name, text, "an OK without rows");
        } else if (reply.isComplete()) {
            String owner = text.substring(0, text.indexOf(" and n ="));
            boolean own = reply.lastRow().contains(owner + " ");
            wrong(name, text, own ? "rows of an earlier statement" : "rows of another client");
        } else {
            count(reply.end().equals("nothing") ? "no answer" : "refused or failed");
        }
    }

    private static synchronized void wrong(String name, String text, String what) {
        wrong++;
        count("WRONG: " + what);
        Record.line("WRONG: " + name + ": " + text + ": " + what);
    }

    private static synchronized void count(String what) {
        COUNTS.merge(what, 1, Integer::sum);
    }
}
