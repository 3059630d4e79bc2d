package lineward.thrift;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** A small engine of the line protocol. What it does with a request is set by its mode. */
final class StandInLines implements AutoCloseable {
    /** What it does with what it is sent. */
    enum Mode {
        SERVE,
        SILENT,
        FAULT,
        SHED,
        RESET,
        GARBAGE,
        GARBAGE_ONCE,
        LOSE_PAGES,
        DEAD,
        COPIES,
        NOISE,
        NO_TOTAL,
        SHORT,
        RESET_SOME,
        NOTES,
        LARGE,
        LATE,
        RESET_AMID,
        CLOSE,
        SHED_TWICE,
        ENDLESS,
        CROSS
    }

    /** Pages of every result. */
    static final List<String> PAGES = List.of("a\tb\tc\n", "d\te\tf\n", "g\th\ti\n");
    /** The longest result that there is. */
    static final int LARGE_PAGES = 8;

    private static final String LARGE_PAGE = ("a\tb\t" + "c".repeat(1195) + "\n").repeat(5);
    /** More than any reply may hold. */
    private static final int ENDLESS_BYTES = 200_000;
    /** Requests that run anywhere now, and those that ever ran twice at once. */
    private static final Set<String> RUNNING = ConcurrentHashMap.newKeySet();

    static final Set<String> TWICE = ConcurrentHashMap.newKeySet();

    final List<String> heard = new CopyOnWriteArrayList<>();
    private final ServerSocket server;
    private final Thread acceptor;
    /** Runs when a request has come, before anything is said. */
    volatile Runnable atWant = () -> {};

    private final Map<Socket, Set<String>> sockets = new ConcurrentHashMap<>();
    volatile Mode mode = Mode.SERVE;
    /** Requests that have come and to which nothing has been said yet. */
    private final AtomicInteger answering = new AtomicInteger();
    /** Connections still to be reset before it serves again. */
    final AtomicInteger resets = new AtomicInteger();

    StandInLines() throws IOException {
        this(0);
    }

    StandInLines(int port) throws IOException {
        this(bound(port));
    }

    private static ServerSocket bound(int port) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        return server;
    }

    /** @param server on which connections may wait already */
    StandInLines(ServerSocket server) {
        this.server = server;
        acceptor = new Thread(this::accept, "engine");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    int port() {
        return server.getLocalPort();
    }

    /** Writes these characters on every connection. */
    void sayToAll(String text) throws IOException {
        for (Socket socket : sockets.keySet()) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** Returns whether nothing that has come is still to be answered by its mode. */
    boolean isQuiet() {
        return answering.get() == 0;
    }

    /** Returns the ids of the requests that have come, in their order. */
    List<String> ids() {
        return heard.stream()
                .filter(line -> line.startsWith("want "))
                .map(line -> line.split(" ", -1)[1])
                .toList();
    }

    long count(String word) {
        return heard.stream().filter(line -> line.startsWith(word)).count();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.put(socket, ConcurrentHashMap.newKeySet());
                Thread session = new Thread(() -> session(socket), "session");
                session.setDaemon(true);
                session.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void session(Socket socket) {
        Set<String> here = sockets.get(socket);
        boolean dead = false;
        try (socket;
                InputStream in = new BufferedInputStream(socket.getInputStream())) {
            while (true) {
                String line = line(in);
                heard.add(line);
                String[] words = line.split(" ", -1);
                if (words[0].equals("want") && mode == Mode.RESET_AMID) {
                    reset(socket);
                } else if (words[0].equals("want")) {
                    byte[] bytes = in.readNBytes(Integer.parseInt(words[3]));
                    String body = new String(bytes, StandardCharsets.UTF_8);
                    line(in);
                    heard.add("body " + body);
                    if (!RUNNING.add(words[1])) {
                        TWICE.add(words[1]);
                    }
                    here.add(words[1]);
                    answering.incrementAndGet();
                    try {
                        atWant.run();
                        dead = mode == Mode.DEAD || mode == Mode.SHORT || mode == Mode.ENDLESS;
                        want(socket, words[1], here);
                    } finally {
                        answering.decrementAndGet();
                    }
                } else if (words[0].equals("there") && !dead) {
                    say(socket, words[1] + " PONG -", "");
                } else if (words[0].equals("turn")) {
                    int page = Integer.parseInt(words[2]);
                    if (mode == Mode.COPIES) {
                        say(socket, words[1] + " PART index=" + page, PAGES.get(page));
                    }
                    if (mode == Mode.LARGE) {
                        say(socket, words[1] + " PART index=" + page, LARGE_PAGE);
                    } else if (mode == Mode.LOSE_PAGES) {
                        say(socket, words[1] + " FAULT -", "");
                    } else {
                        say(socket, words[1] + " PART index=" + page, PAGES.get(page));
                    }
                } else if (words[0].equals("never_mind")) {
                    ended(words[1], here);
                    if (mode == Mode.CROSS) {
                        say(socket, words[1] + " HIT total=1", PAGES.get(0));
                    }
                }
            }
        } catch (IOException e) {
            // Hung up, or told to die.
        } finally {
            sockets.remove(socket);
            here.forEach(RUNNING::remove);
        }
    }

    private static void ended(String id, Set<String> here) {
        if (here.remove(id)) {
            RUNNING.remove(id);
        }
    }

    private void want(Socket socket, String id, Set<String> here) throws IOException {
        Mode now = mode;
        if (now == Mode.SILENT || now == Mode.CROSS) {
            return;
        }
        ended(id, here);
        switch (now) {
            case DEAD -> {}
            case COPIES -> {
                say(socket, "fedcba9876543210 HIT total=1", PAGES.get(0));
                say(socket, id + " HIT total=" + PAGES.size(), PAGES.get(0));
                say(socket, id + " HIT total=" + PAGES.size(), PAGES.get(0));
            }
            case NOTES -> {
                String[] notes = {"n=done,datum=0.5", "n=mood,datum=9", "n=done,datum=7", "-"};
                for (String note : notes) {
                    say(socket, id + " INFO " + note, "");
                }
                say(socket, "t0 SICK -", "");
                say(socket, id + " HIT total=" + PAGES.size(), PAGES.get(0));
                say(socket, id + " INFO n=done,datum=1", "");
            }
            case NOISE -> say(socket, id + " HIT total=1", "a\tb\u0001\tc\n");
            case NO_TOTAL -> say(socket, id + " HIT -", PAGES.get(0));
            case SHORT -> {
                String reply = id + " HIT total=1 900\r\na\tb";
                socket.getOutputStream().write(reply.getBytes(StandardCharsets.US_ASCII));
            }
            case LARGE -> say(socket, id + " HIT total=" + LARGE_PAGES, LARGE_PAGE);
            case LATE -> say(socket, id + " LATE -", "");
            case CLOSE -> socket.close();
            case SHED_TWICE -> {
                // The second copy comes when the request is out again.
                say(socket, id + " SHED -", "");
                mode = Mode.SERVE;
                atWant = () -> {
                    atWant = () -> {};
                    try {
                        say(socket, id + " SHED -", "");
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                };
            }
            case ENDLESS -> {
                OutputStream out = socket.getOutputStream();
                out.write((id + " HIT total=1 900\r\n").getBytes(StandardCharsets.US_ASCII));
                for (int i = 0; i < ENDLESS_BYTES; i++) {
                    out.write('a');
                }
            }
            case FAULT -> say(socket, id + " FAULT why=test", "");
            case SHED -> say(socket, id + " SHED -", "");
            case RESET, RESET_SOME -> {
                if (resets.decrementAndGet() == 0) {
                    mode = Mode.SERVE;
                }
                reset(socket);
            }
            case GARBAGE_ONCE -> {
                mode = Mode.SERVE;
                say(socket, "what is this now", "x");
            }
            case GARBAGE -> say(socket, "what is this now", "x");
            default -> say(socket, id + " HIT total=" + PAGES.size(), PAGES.get(0));
        }
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private static void say(Socket socket, String head, String body) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write((head + ' ' + body.length() + "\r\n" + body + "\r\n").getBytes(StandardCharsets.UTF_8));
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException();
            }
            line.write(c);
        }
        return line.toString(StandardCharsets.UTF_8).stripTrailing();
    }

    @Override
    public void close() throws IOException {
        server.close();
        try {
            // Until its accept has returned the port is taken, and a new engine there can't bind it.
            acceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Socket socket : sockets.keySet()) {
            resetUnlessClosed(socket);
        }
    }

    /** Resets a connection that its session, on a thread of its own, may close at the same time. */
    private static void resetUnlessClosed(Socket socket) throws IOException {
        try {
            reset(socket);
        } catch (SocketException e) {
            // A socket that its session has just closed takes no option any more; any other failure counts.
            if (!socket.isClosed()) {
                throw e;
            }
        }
    }
}
