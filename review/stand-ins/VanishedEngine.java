import java.nio.file.Path;

/**
 * An engine vanishes while a front end passes on a long result of it. Every statement has to get its final answer,
 * also the ones that the client sends later on the same connection.
 */
final class VanishedEngine {
    private static final int ROWS = 10_000;
    private static final int FIRST_WAIT_MS = 75_000;
    private static final int NEXT_WAIT_MS = 20_000;

    public static void main(String[] args) {
        Case.main(args, VanishedEngine::run);
    }

    private static int run(Path root, boolean trouble) throws Exception {
        try (MysqlSite site = new MysqlSite(root); MysqlClient client = site.client()) {
            ask(client, "select a from t where b = 1", 5000);
            if (trouble) {
                site.engines.forEach(engine -> {
                    engine.troubleAfterRows = 6000;
                    engine.trouble = MysqlEngine.Trouble.VANISH;
                });
                Journal.start(() -> {
                    while (site.engines.stream().noneMatch(engine -> engine.vanished)) {
                        Thread.onSpinWait();
                    }
                    // One engine of six vanishes; the others stay sound.
                    site.engines.forEach(engine -> engine.trouble = MysqlEngine.Trouble.NONE);
                });
            }
            MysqlClient.Reply first = ask(client, "select a from t where report " + ROWS, FIRST_WAIT_MS);
            MysqlClient.Reply next = ask(client, "select a from t where b = 2", NEXT_WAIT_MS);
            try (MysqlClient other = site.client()) {
                ask(other, "select a from t where b = 3", 5000);
            }
            boolean held = !first.end().equals("nothing") && !next.end().equals("nothing");
            Record.say(held ? "HELD" : "BROKEN: a statement has no final answer");
            Record.line(site.frontEnd.log());
            return held ? 0 : 1;
        }
    }

    private static MysqlClient.Reply ask(MysqlClient client, String text, int waitMs) throws Exception {
        Record.say("client sends: " + text);
        long sent = Record.now();
        MysqlClient.Reply reply = client.query(text, waitMs);
        Record.say("client has " + reply.rows() + " rows, end: " + reply.end() + ", after " + (Record.now() - sent) + " ms");
        return reply;
    }
}
