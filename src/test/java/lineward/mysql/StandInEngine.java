package lineward.mysql;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small MySQL engine that does as it is told: {@code rows=N size=BYTES} gets rows, or it dies. */
final class StandInEngine implements AutoCloseable {
    /** Where the engine dies, or what else it does instead of answering. */
    enum Trouble {
        NONE,
        DIE_AFTER_PREPARE,
        DIE_BEFORE_EXECUTE,
        DIE_IN_EXECUTE,
        DIE_IN_ROW_ONE,
        DIE_AMID_ROWS,
        DIE_BEFORE_LAST,
        SILENT,
        FULL,
        GARBAGE
    }

    /** What one connection's session holds, as a real engine's does. */
    private static final class Session {
        final long id;
        final Map<Long, String> prepared = new HashMap<>();
        /** The settings under which each was prepared. */
        final Map<Long, String> preparedUnder = new HashMap<>();

        final Map<String, String> settings = new TreeMap<>();
        String schema = "";
        String traces = "";

        Session(long id) {
            this.id = id;
        }
    }

    /** A statement that ran, and what it found in its session. */
    record Seen(String text, String settings, String schema, String traces) {}

    private static final Pattern SETTING = Pattern.compile("SESSION (\\w+)=('[^']*'|[^,]+)");
    private static final String LEAVES_TRACES = "^call |/\\*M?!|temporary|^flush ";
    private static final Pattern TRACES = Pattern.compile(LEAVES_TRACES, Pattern.CASE_INSENSITIVE);
    private static final Pattern ROWS = Pattern.compile("rows=(\\d+)(?: size=(\\d+))?");
    private static final byte[] NONCE = "abcdefghijklmnopqrst".getBytes(StandardCharsets.US_ASCII);
    private static final AtomicInteger RUNNING = new AtomicInteger();
    static final AtomicInteger MOST_RUNNING = new AtomicInteger();

    final List<String> ran = new CopyOnWriteArrayList<>();
    final List<String> said = new CopyOnWriteArrayList<>();
    final List<Seen> seen = new CopyOnWriteArrayList<>();
    /** Runs when settings have come, before anything is said of them. */
    volatile Runnable atSettings = () -> {};

    private final ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Map<Long, CountDownLatch> kills = new ConcurrentHashMap<>();
    private final AtomicInteger threads = new AtomicInteger();
    volatile Trouble trouble = Trouble.NONE;
    /** Runs before it dies or sends what breaks the protocol. */
    volatile Runnable beforeFault = () -> {};

    private volatile long lastByteAt;
    private volatile long nextCommandAt;

    StandInEngine() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread acceptor = new Thread(this::accept, "engine");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    int port() {
        return server.getLocalPort();
    }

    /** Returns whether it has ended and takes no more connections. */
    boolean isDead() {
        return server.isClosed();
    }

    /** Returns the time from the last byte of the last long result to the next command, or to that limit. */
    double releasedAfterMs(long limit) {
        long next = nextCommandAt > lastByteAt ? nextCommandAt : limit;
        return (next - lastByteAt) / 1e6;
    }

    int connections() {
        return sockets.size();
    }

    /** Ends at once, as a process does that is killed. */
    void die() throws IOException {
        beforeFault.run();
        server.close();
        resetConnections();
    }

    /** Resets the open connections; new ones are still accepted. */
    void resetConnections() throws IOException {
        for (Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        die();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                sockets.add(socket);
                Thread session = new Thread(() -> session(socket), "session");
                session.setDaemon(true);
                session.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void session(Socket socket) {
        long id = threads.incrementAndGet();
        kills.put(id, new CountDownLatch(1));
        try (socket) {
            Wire wire = new Wire(socket);
            if (trouble == Trouble.FULL) {
                wire.write(Wire.error(1040, "08004", "too many"));
                return;
            }
            wire.write(
                    10,
                    "8.0.36",
                    0,
                    id,
                    Arrays.copyOf(NONCE, 8),
                    0,
                    0x0f,
                    0xa2,
                    45,
                    2,
                    0,
                    0x08,
                    0,
                    21,
                    new byte[10],
                    Arrays.copyOfRange(NONCE, 8, 20),
                    0,
                    "mysql_native_password",
                    0);
            wire.read();
            wire.write(Wire.ok());
            Session session = new Session(id);
            while (true) {
                wire.sequence = 0;
                byte[] command = wire.read();
                wire.sequence = 1;
                answer(wire, command, session);
            }
        } catch (IOException | InterruptedException e) {
            // The front hung up, or this engine was killed.
        } finally {
            sockets.remove(socket);
        }
    }

    private void answer(Wire wire, byte[] command, Session session) throws IOException, InterruptedException {
        String text = new String(command, 1, command.length - 1, StandardCharsets.UTF_8);
        switch (command[0]) {
            case 0x02 -> {
                said.add("use " + text);
                session.schema = text;
                wire.write(text.equals("nowhere") ? Wire.error(1049, "42000", "unknown") : Wire.ok());
            }
            case 0x03 -> run(wire, text, session, "");
            case 0x16 -> {
                said.add("prepare " + text);
                long number = session.prepared.size() + 100L;
                session.prepared.put(number, text);
                session.preparedUnder.put(number, session.settings.toString());
                int params = (int) text.chars().filter(c -> c == '?').count();
                wire.write(0, number, 1, 0, params, 0, 0, 0, 0);
                for (int i = 0; i < params; i++) {
                    wire.write(column("?"));
                }
                if (params > 0) {
                    wire.write(Wire.eof());
                }
                wire.write(column("c"));
                wire.write(Wire.eof());
                if (trouble == Trouble.DIE_AFTER_PREPARE) {
                    die();
                }
            }
            case 0x17 -> {
                if (trouble == Trouble.DIE_BEFORE_EXECUTE) {
                    die();
                    return;
                }
                String statement = session.prepared.get(number(command));
                said.add("execute " + Arrays.toString(Arrays.copyOfRange(command, 5, command.length)));
                run(wire, statement, session, session.preparedUnder.get(number(command)));
            }
            case 0x18 -> said.add("long " + number(command) + " " + text.substring(6));
            case 0x19 -> said.add("close");
            default -> wire.write(Wire.error(1047, "08S01", "unknown command"));
        }
    }

    private static long number(byte[] command) {
        return (command[1] & 0xff) | (command[2] & 0xff) << 8;
    }

    /** @param preparedUnder empty: a text, not prepared */
    private void run(Wire wire, String text, Session session, String preparedUnder)
            throws IOException, InterruptedException {
        if (text.startsWith("KILL QUERY ")) {
            said.add(text);
            kills.get(Long.parseLong(text.substring(11))).countDown();
            wire.write(Wire.ok());
            return;
        }
        if (text.startsWith("SET SESSION")) {
            said.add(text);
            atSettings.run();
            wire.write(set(session, text) ? Wire.ok() : Wire.error(1193, "HY000", "unknown variable"));
            return;
        }
        if (nextCommandAt <= lastByteAt) {
            nextCommandAt = System.nanoTime();
        }
        ran.add(text);
        seen.add(new Seen(
                text,
                preparedUnder.isEmpty() ? session.settings.toString() : preparedUnder,
                session.schema,
                session.traces));
        if (TRACES.matcher(text).find()) {
            session.traces += text;
        }
        MOST_RUNNING.accumulateAndGet(RUNNING.incrementAndGet(), Math::max);
        try {
            if (trouble == Trouble.DIE_IN_EXECUTE) {
                die();
            } else if (trouble == Trouble.GARBAGE) {
                beforeFault.run();
                wire.write(new byte[0]);
            } else if (trouble == Trouble.SILENT) {
                kills.get(session.id).await();
                wire.write(Wire.error(1317, "70100", "interrupted"));
            } else if (text.contains("syntax")) {
                wire.write(Wire.error(1064, "42000", "syntax"));
            } else {
                rows(wire, text, !preparedUnder.isEmpty());
            }
        } finally {
            RUNNING.decrementAndGet();
        }
    }

    /** One after the other: those ahead of one that it does not know hold. */
    private static boolean set(Session session, String text) {
        Matcher each = SETTING.matcher(text);
        while (each.find()) {
            if (each.group(2).contains("bad_")) {
                return false;
            }
            if (each.group(2).equals("DEFAULT")) {
                session.settings.remove(each.group(1));
            } else {
                session.settings.put(each.group(1), each.group(2));
            }
        }
        return true;
    }

    private void rows(Wire wire, String text, boolean binary) throws IOException {
        Matcher asked = ROWS.matcher(text);
        if (!asked.find()) {
            wire.write(text.contains("opens a transaction") ? Wire.bytes(0, 0, 0, 3, 0, 0, 0) : Wire.ok());
            return;
        }
        int rows = Integer.parseInt(asked.group(1));
        wire.write(1);
        wire.write(column("c"));
        wire.write(Wire.eof());
        String padding = asked.group(2) == null ? "" : "x".repeat(Integer.parseInt(asked.group(2)));
        wire.gather();
        for (int i = 0; i < rows; i++) {
            boolean halfSent = trouble == Trouble.DIE_AMID_ROWS && i == rows / 2;
            if (halfSent || trouble == Trouble.DIE_IN_ROW_ONE) {
                wire.flush();
                die();
            }
            byte[] row = Wire.text("row " + i + " of " + text + padding);
            if (binary) {
                wire.write(0, 0, row);
            } else {
                wire.write((Object) row);
            }
        }
        wire.flush();
        if (trouble == Trouble.DIE_BEFORE_LAST) {
            die();
        }
        wire.write(Wire.eof());
        if (rows > 100) {
            lastByteAt = System.nanoTime();
            nextCommandAt = 0;
        }
    }

    private static byte[] column(String name) {
        return Wire.bytes(Wire.text("def"), 0, 0, 0, Wire.text(name), 0, 12, 45, 0, 100L, 253, 0, 0, 0, 0, 0);
    }
}
