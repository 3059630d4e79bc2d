import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * A usual client of the platform: one connection, a request now and then, several open at once; it reads whatever is
 * sent. A request is lost if it was written whole and its connection ended without its answer, or if it has no answer
 * half a second after its time. Not counted is the first request of a connection that ends without anything sent on it.
 */
final class UsualClient {
    private static final Map<String, Integer> COUNTS = new TreeMap<>();
    private static final Random IDS = new Random();
    /** Bytes that the list in a statement has, about. */
    static int statementBytes;

    private static int lost;
    private static volatile boolean stopping;

    private record Open(String id, String type, String statement, long until, boolean first) {}

    private final int port;
    private final int number;
    private final int everyMs;
    private final Random random;
    private Client client;
    private Map<Integer, Open> open = new LinkedHashMap<>();

    UsualClient(int port, int number, int everyMs) {
        this.port = port;
        this.number = number;
        this.everyMs = everyMs;
        this.random = new Random(number);
        Journal.start(this::run);
    }

    static synchronized int lost() {
        return lost;
    }

    static synchronized String counts() {
        return COUNTS + " lost " + lost;
    }

    /** Ends the sending; answers are still read. */
    static void stop() {
        stopping = true;
    }

    private static synchronized void count(String what) {
        COUNTS.merge(what, 1, Integer::sum);
    }

    private static synchronized void lose(int number, Open request, String why) {
        lost++;
        Record.say("LOST: client " + number + " " + request.type() + " " + request.id() + ": " + why);
    }

    private void run() {
        try {
            while (!stopping) {
                Thread.sleep(everyMs / 2 + random.nextInt(everyMs));
                try {
                    sendOne();
                } catch (IOException e) {
                    drop(client, "write failed: " + e.getMessage());
                }
            }
        } catch (InterruptedException e) {
            // The process ends.
        }
    }

    private void sendOne() throws IOException {
        boolean first = false;
        Client current;
        synchronized (this) {
            if (client == null) {
                try {
                    client = new Client(port);
                } catch (IOException e) {
                    count("not connected");
                    return;
                }
                open = new LinkedHashMap<>();
                first = true;
                Client opened = client;
                Journal.start(() -> read(opened));
            }
            current = client;
            // A connection carries at most 32 open requests.
            if (open.size() >= 30) {
                return;
            }
        }
        String type = random.nextDouble() < 0.85 ? "place-check" : "term-report";
        boolean check = type.equals("place-check");
        int ttl = check ? 2500 : 15000;
        String id;
        synchronized (IDS) {
            id = String.format("%016x", IDS.nextLong());
        }
        String statement =
                "select a, b, c from places_" + random.nextInt(40) + ".entries where id = " + random.nextInt(9999)
                        + (statementBytes == 0 ? "" : " or id in (" + "1,".repeat(random.nextInt(statementBytes / 2)) + "1)");
        Map<String, String> fields = Map.of(
                "op", type, "call", id, "ttl", "" + ttl, "org", Site.TENANTS[number % 3],
                "work", check ? "90.0" : "3000.0", "mem", check ? "32" : "240");
        int seq = current.nextSeq();
        byte[] frame = Client.invoke(seq, fields, statement);
        synchronized (this) {
            open.put(seq, new Open(id, type, statement, Record.now() + ttl, first));
        }
        Record.line("client " + number + ": sends " + type + " " + id);
        current.write(frame);
        count("sent");
    }

    private void read(Client from) {
        try {
            while (true) {
                Client.Answer answer = from.read();
                Open request;
                synchronized (this) {
                    request = open.remove(answer.seq());
                }
                if (request == null) {
                    Record.say("an answer to no open request: client " + number + " number " + answer.seq());
                    continue;
                }
                boolean wrong =
                        answer.kind().equals("served") && !answer.body().equals(Engine.result(request.statement()));
                Record.line("client " + number + ": " + (wrong ? "wrong " : answer.kind() + " ") + request.id());
                count(wrong ? "wrong" : answer.kind());
            }
        } catch (IOException e) {
            drop(from, "connection ended: " + e);
        }
    }

    private void drop(Client ended, String why) {
        synchronized (this) {
            if (client != ended || ended == null) {
                return;
            }
            client = null;
            boolean onlyFirst = open.size() == 1 && open.values().iterator().next().first();
            if (onlyFirst) {
                count("first request, not counted");
            } else {
                open.values().forEach(request -> lose(number, request, why));
            }
            open = new LinkedHashMap<>();
        }
    }

    /** Counts the requests as lost that have no answer half a second after their time. */
    synchronized void checkOverdue() {
        open.values().removeIf(request -> {
            boolean overdue = Record.now() > request.until() + 500;
            if (overdue) {
                lose(number, request, "no answer half a second after its time");
            }
            return overdue;
        });
    }
}
