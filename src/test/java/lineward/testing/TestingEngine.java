package lineward.testing;

import java.io.BufferedInputStream;
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

/** A fake engine of the line protocol. Its {@link EngineBehavior} determines how it responds to requests. */
public final class TestingEngine implements AutoCloseable {
    /** The pages of each result. */
    public static final List<String> PAGES = List.of("a\tb\tc\n", "d\te\tf\n", "g\th\ti\n");

    private static final int LARGE_PAGES = 8;
    private static final String LARGE_PAGE = ("a\tb\t" + "c".repeat(1195) + "\n").repeat(5);
    /** Length of an endless reply, more than the program accepts in one reply. */
    private static final int ENDLESS_BYTES = 200_000;
    /** Length that incomplete replies announce. */
    private static final int ANNOUNCED_BYTES = 900;

    private static final String UNKNOWN_ID = "fedcba9876543210";

    private final List<String> receivedLines = new CopyOnWriteArrayList<>();
    private final ServerSocket server;
    private final ConcurrentRuns runs;
    private final Thread acceptor;
    /** Called for each request before the engine responds. */
    private volatile Runnable onRequest = () -> {};
    /** The open connections, with the requests that run on each. */
    private final Map<Socket, Set<String>> connections = new ConcurrentHashMap<>();

    private volatile EngineBehavior behavior = EngineBehavior.SERVE;
    /** Number of received requests that the behavior has not handled yet. */
    private final AtomicInteger unhandled = new AtomicInteger();
    /** Number of connections that {@link EngineBehavior#RESET_LIMITED} still resets. */
    private final AtomicInteger resetsLeft = new AtomicInteger();

    /** Creates an engine on a free port. */
    public TestingEngine(ConcurrentRuns runs) throws IOException {
        this(bound(0), runs);
    }

    /** Creates an engine on that port. */
    public TestingEngine(int port) throws IOException {
        this(bound(port), new ConcurrentRuns());
    }

    /** Creates an engine on a server socket whose backlog may already hold connections. */
    TestingEngine(ServerSocket server, ConcurrentRuns runs) {
        this.server = server;
        this.runs = runs;
        acceptor = new Thread(this::accept, "engine");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    private static ServerSocket bound(int port) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        return server;
    }

    public int port() {
        return server.getLocalPort();
    }

    public EngineBehavior behavior() {
        return behavior;
    }

    public void setBehavior(EngineBehavior behavior) {
        this.behavior = behavior;
    }

    /** Sets how many connections {@link EngineBehavior#RESET_LIMITED} resets. */
    public void limitResets(int count) {
        resetsLeft.set(count);
    }

    /** Sets an action to call for each request before the engine responds. */
    public void onRequest(Runnable action) {
        onRequest = action;
    }

    /** Returns the received lines and bodies, in order. */
    public List<String> receivedLines() {
        return receivedLines;
    }

    /** Returns the number of received attempts. */
    public long requests() {
        return count(TestingLineProtocol.START_QUERY);
    }

    /** Returns the number of received attempts of one request. */
    public long requests(String requestId) {
        return count(TestingLineProtocol.START_QUERY + ' ' + requestId);
    }

    /** Returns the number of received cancels. */
    public long cancels() {
        return count(TestingLineProtocol.CANCEL_QUERY);
    }

    /** Returns the number of received pings, which are health checks and heartbeats. */
    public long healthChecks() {
        return count(TestingLineProtocol.HEALTH_CHECK);
    }

    private long count(String prefix) {
        return receivedLines.stream().filter(line -> line.startsWith(prefix)).count();
    }

    /** Returns the ids of the received requests, in order. */
    public List<String> requestIds() {
        return receivedLines.stream()
                .filter(line -> line.startsWith(TestingLineProtocol.START_QUERY + ' '))
                .map(line -> line.split(" ", -1)[1])
                .toList();
    }

    /** Writes this text to every open connection. */
    public void writeToAll(String text) throws IOException {
        for (Socket socket : connections.keySet()) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }
    }

    /** Returns whether the behavior has handled all received requests. */
    public boolean isIdle() {
        return unhandled.get() == 0;
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                connections.put(socket, ConcurrentHashMap.newKeySet());
                Thread session = new Thread(() -> serve(socket), "session");
                session.setDaemon(true);
                session.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        Set<String> running = connections.get(socket);
        boolean unresponsive = false;
        try (socket;
                InputStream in = new BufferedInputStream(socket.getInputStream())) {
            while (true) {
                String line = TestingLineProtocol.readLine(in);
                receivedLines.add(line);
                String[] parts = line.split(" ", -1);
                switch (parts[0]) {
                    case TestingLineProtocol.START_QUERY -> {
                        if (behavior == EngineBehavior.RESET_MID_REQUEST) {
                            reset(socket);
                        } else {
                            readBody(in, Integer.parseInt(parts[3]));
                            unresponsive = startQuery(socket, parts[1], running);
                        }
                    }
                    case TestingLineProtocol.HEALTH_CHECK -> {
                        if (!unresponsive) {
                            TestingLineProtocol.write(socket, TestingLineProtocol.healthy(parts[1]), "");
                        }
                    }
                    case TestingLineProtocol.READ_PAGE -> {
                        int page = Integer.parseInt(parts[2]);
                        readPage(socket, parts[1], page);
                    }
                    case TestingLineProtocol.CANCEL_QUERY -> cancelQuery(socket, parts[1], running);
                    default -> {}
                }
            }
        } catch (IOException e) {
            // The client closed the connection, or the test closed the engine.
        } finally {
            connections.remove(socket);
            running.forEach(runs::ended);
        }
    }

    private void readBody(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        String body = new String(bytes, StandardCharsets.UTF_8);
        TestingLineProtocol.readLine(in);
        receivedLines.add(TestingLineProtocol.bodyLine(body));
    }

    /** Starts a query; returns whether the connection stops responding to pings. */
    private boolean startQuery(Socket socket, String id, Set<String> running) throws IOException {
        runs.started(id);
        running.add(id);
        unhandled.incrementAndGet();
        try {
            onRequest.run();
            EngineBehavior current = behavior;
            boolean unresponsive = current == EngineBehavior.UNRESPONSIVE
                    || current == EngineBehavior.TRUNCATED_REPLY
                    || current == EngineBehavior.ENDLESS_REPLY;
            answer(socket, id, running);
            return unresponsive;
        } finally {
            unhandled.decrementAndGet();
        }
    }

    private void readPage(Socket socket, String id, int page) throws IOException {
        String head = TestingLineProtocol.nextPage(id, page);
        if (behavior == EngineBehavior.DUPLICATE_RESPONSES) {
            TestingLineProtocol.write(socket, head, PAGES.get(page));
        }
        if (behavior == EngineBehavior.LARGE_RESULT) {
            TestingLineProtocol.write(socket, head, LARGE_PAGE);
        } else if (behavior == EngineBehavior.ERROR_ON_NEXT_PAGE) {
            TestingLineProtocol.write(socket, TestingLineProtocol.pageError(id), "");
        } else {
            TestingLineProtocol.write(socket, head, PAGES.get(page));
        }
    }

    private void cancelQuery(Socket socket, String id, Set<String> running) throws IOException {
        end(id, running);
        if (behavior == EngineBehavior.RESPOND_AFTER_CANCEL) {
            TestingLineProtocol.write(socket, TestingLineProtocol.firstPage(id, 1), PAGES.get(0));
        }
    }

    private void end(String id, Set<String> running) {
        if (running.remove(id)) {
            runs.ended(id);
        }
    }

    private void answer(Socket socket, String id, Set<String> running) throws IOException {
        EngineBehavior current = behavior;
        if (current == EngineBehavior.NO_RESPONSE || current == EngineBehavior.RESPOND_AFTER_CANCEL) {
            return;
        }
        end(id, running);
        String firstPage = TestingLineProtocol.firstPage(id, PAGES.size());
        String onlyPage = TestingLineProtocol.firstPage(id, 1);
        switch (current) {
            case UNRESPONSIVE -> {}
            case DUPLICATE_RESPONSES -> {
                TestingLineProtocol.write(socket, TestingLineProtocol.firstPage(UNKNOWN_ID, 1), PAGES.get(0));
                TestingLineProtocol.write(socket, firstPage, PAGES.get(0));
                TestingLineProtocol.write(socket, firstPage, PAGES.get(0));
            }
            case PROGRESS_REPORTS -> reportProgress(socket, id, firstPage);
            case CONTROL_CHARACTER -> TestingLineProtocol.write(socket, onlyPage, "a\tb\u0001\tc\n");
            case MISSING_PAGE_COUNT -> {
                String head = TestingLineProtocol.firstPageWithoutCount(id);
                TestingLineProtocol.write(socket, head, PAGES.get(0));
            }
            case TRUNCATED_REPLY -> TestingLineProtocol.writeStart(socket, onlyPage, ANNOUNCED_BYTES, "a\tb");
            case LARGE_RESULT -> {
                String head = TestingLineProtocol.firstPage(id, LARGE_PAGES);
                TestingLineProtocol.write(socket, head, LARGE_PAGE);
            }
            case EXPIRED -> TestingLineProtocol.write(socket, TestingLineProtocol.expired(id), "");
            case CLOSE -> socket.close();
            case REJECT_TWICE -> rejectTwice(socket, id);
            case ENDLESS_REPLY -> writeEndlessly(socket, onlyPage);
            case ERROR -> TestingLineProtocol.write(socket, TestingLineProtocol.error(id), "");
            case REJECT -> TestingLineProtocol.write(socket, TestingLineProtocol.rejected(id), "");
            case RESET, RESET_LIMITED -> {
                if (resetsLeft.decrementAndGet() == 0) {
                    behavior = EngineBehavior.SERVE;
                }
                reset(socket);
            }
            case MALFORMED_REPLY_ONCE -> {
                behavior = EngineBehavior.SERVE;
                TestingLineProtocol.write(socket, TestingLineProtocol.malformed(), "x");
            }
            case MALFORMED_REPLY -> TestingLineProtocol.write(socket, TestingLineProtocol.malformed(), "x");
            default -> TestingLineProtocol.write(socket, firstPage, PAGES.get(0));
        }
    }

    private static void reportProgress(Socket socket, String id, String firstPage) throws IOException {
        for (String fields : TestingLineProtocol.PROGRESS) {
            TestingLineProtocol.write(socket, TestingLineProtocol.progress(id, fields), "");
        }
        TestingLineProtocol.write(socket, TestingLineProtocol.unhealthy("t0"), "");
        TestingLineProtocol.write(socket, firstPage, PAGES.get(0));
        TestingLineProtocol.write(socket, TestingLineProtocol.progress(id, "n=done,datum=1"), "");
    }

    /** Rejects the request now, and once more when the next attempt arrives. */
    private void rejectTwice(Socket socket, String id) throws IOException {
        TestingLineProtocol.write(socket, TestingLineProtocol.rejected(id), "");
        behavior = EngineBehavior.SERVE;
        onRequest = () -> {
            onRequest = () -> {};
            try {
                TestingLineProtocol.write(socket, TestingLineProtocol.rejected(id), "");
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        };
    }

    private static void writeEndlessly(Socket socket, String head) throws IOException {
        TestingLineProtocol.writeStart(socket, head, ANNOUNCED_BYTES, "");
        OutputStream out = socket.getOutputStream();
        for (int i = 0; i < ENDLESS_BYTES; i++) {
            out.write('a');
        }
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        server.close();
        try {
            // The port stays in use until accept returns; no other engine could bind it before.
            acceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (Socket socket : connections.keySet()) {
            resetUnlessClosed(socket);
        }
    }

    /** Resets a connection that its session thread may close at the same time. */
    private static void resetUnlessClosed(Socket socket) throws IOException {
        try {
            reset(socket);
        } catch (SocketException e) {
            // The session has just closed the socket, which then accepts no option; other failures count.
            if (!socket.isClosed()) {
                throw e;
            }
        }
    }
}
