import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Engines fail some statements in the middle of their rows. A client that reads with a cursor must not take the rows
 * before the failure for the whole result.
 */
final class CursorError {
    private static final int ROWS = 500;
    private static final int FETCH = 100;
    private static final int STATEMENTS = 40;

    private static final int CLIENTS = 12;
    private static int whole;
    private static int wrong;
    private static int failed;
    private static int unanswered;

    public static void main(String[] args) {
        Case.main(args, CursorError::run);
    }

    private static int run(Path root, boolean trouble) throws Exception {
        try (MysqlSite site = new MysqlSite(root)) {
            site.engines.forEach(engine -> engine.workMs = 100);
            if (trouble) {
                // One engine of six fails 60 in 100 of its statements.
                site.engines.get(0).troubleAfterRows = 250;
                site.engines.get(0).failsOfTen = 6;
                site.engines.get(0).trouble = MysqlEngine.Trouble.ERROR;
            }
            // The engine fails for 20 s at most.
            Journal.start(() -> {
                try {
                    Thread.sleep(20_000);
                } catch (InterruptedException e) {
                    return;
                }
                site.engines.get(0).trouble = MysqlEngine.Trouble.NONE;
            });
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int number = i;
                Thread thread = new Thread(() -> read(site, number));
                thread.start();
                threads.add(thread);
            }
            for (Thread thread : threads) {
                thread.join();
            }
            Record.line(site.frontEnd.log());
        }
        Record.say((wrong > 0 ? "BROKEN: " : "") + "whole " + whole + ", failed " + failed + ", unanswered " + unanswered
                + ", cut off and reported as whole " + wrong);
        boolean complete = whole + failed + unanswered + wrong == CLIENTS * STATEMENTS;
        return wrong > 0 ? 1 : complete ? 0 : 2;
    }

    private static void read(MysqlSite site, int number) {
        try (MysqlClient client = site.client()) {
            for (int i = 0; i < STATEMENTS; i++) {
                Thread.sleep(200);
                int id = client.prepare("select a from t where n = " + i + " and report " + ROWS);
                String end = client.openCursor(id, 20_000);
                int rows = 0;
                while (end.equals("opened") || end.equals("more")) {
                    MysqlClient.Reply reply = client.fetch(id, FETCH, 20_000);
                    rows += reply.rows();
                    end = !reply.isComplete() ? reply.end() : reply.lastRowSent() ? "last row sent" : "more";
                }
                count(rows, end, "client " + number + " cursor " + i + ": ");
            }
        } catch (Exception e) {
            Record.say("client " + number + ": " + e);
        }
    }

    private static synchronized void count(int rows, String end, String name) {
        boolean said = end.equals("last row sent");
        boolean isWrong = said && rows != ROWS;
        wrong += isWrong ? 1 : 0;
        whole += said && !isWrong ? 1 : 0;
        unanswered += end.equals("nothing") ? 1 : 0;
        failed += end.startsWith("error") ? 1 : 0;
        String text = (isWrong ? "WRONG: " : "") + name + rows + " of " + ROWS + " rows, end: " + end;
        Record.line(text);
        if (isWrong) {
            System.out.println(text);
        }
    }
}
