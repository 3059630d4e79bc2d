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
    private final AtomicInteger pendingRequests = new AtomicInteger();
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
    public long attempts() {
        return count(TestingEngineCodec.START_QUERY);
    }

    /** Returns the number of received attempts of one request. */
    public long attempts(String requestId) {
        return count(TestingEngineCodec.START_QUERY + ' ' + requestId);
    }

    /** Returns the number of received cancels. */
    public long cancels() {
        return count(TestingEngineCodec.CANCEL_QUERY);
    }

    /** Returns the number of received pings, which are health checks and heartbeats. */
    public long pings() {
        return count(TestingEngineCodec.PING);
    }

    private long count(String prefix) {
        return receivedLines.stream().filter(line -> line.startsWith(prefix)).count();
    }

    /** Returns the ids of the received requests, in order. */
    public List<String> requestIds() {
        return receivedLines.stream()
                .filter(line -> line.startsWith(TestingEngineCodec.START_QUERY + ' '))
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
        return pendingRequests.get() == 0;
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
                String line = TestingEngineCodec.readLine(in);
                receivedLines.add(line);
                String[] parts = line.split(" ", -1);
                switch (parts[0]) {
                    case TestingEngineCodec.START_QUERY -> {
                        if (behavior == EngineBehavior.RESET_MID_REQUEST) {
                            reset(socket);
                        } else {
                            readBody(in, Integer.parseInt(parts[3]));
                            unresponsive = startQuery(socket, parts[1], running);
                        }
                    }
                    case TestingEngineCodec.PING -> {
                        if (!unresponsive) {
                            TestingEngineCodec.write(socket, TestingEngineCodec.healthy(parts[1]), "");
                        }
                    }
                    case TestingEngineCodec.READ_PAGE -> {
                        int page = Integer.parseInt(parts[2]);
                        readPage(socket, parts[1], page);
                    }
                    case TestingEngineCodec.CANCEL_QUERY -> cancelQuery(socket, parts[1], running);
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
        TestingEngineCodec.readLine(in);
        receivedLines.add(TestingEngineCodec.bodyLine(body));
    }

    /** Starts a query; returns whether the connection stops responding to pings. */
    private boolean startQuery(Socket socket, String id, Set<String> running) throws IOException {
        runs.started(id);
        running.add(id);
        pendingRequests.incrementAndGet();
        try {
            onRequest.run();
            EngineBehavior current = behavior;
            boolean unresponsive = current == EngineBehavior.UNRESPONSIVE
                    || current == EngineBehavior.TRUNCATED_REPLY
                    || current == EngineBehavior.ENDLESS_REPLY;
            respond(socket, id, running);
            return unresponsive;
        } finally {
            pendingRequests.decrementAndGet();
        }
    }

    private void readPage(Socket socket, String id, int page) throws IOException {
        String head = TestingEngineCodec.nextPage(id, page);
        if (behavior == EngineBehavior.DUPLICATE_RESPONSES) {
            TestingEngineCodec.write(socket, head, PAGES.get(page));
        }
        if (behavior == EngineBehavior.LARGE_RESULT) {
            TestingEngineCodec.write(socket, head, LARGE_PAGE);
        } else if (behavior == EngineBehavior.ERROR_ON_NEXT_PAGE) {
            TestingEngineCodec.write(socket, TestingEngineCodec.pageError(id), "");
        } else {
            TestingEngineCodec.write(socket, head, PAGES.get(page));
        }
    }

    private void cancelQuery(Socket socket, String id, Set<String> running) throws IOException {
        endRun(id, running);
        if (behavior == EngineBehavior.RESPOND_AFTER_CANCEL) {
            TestingEngineCodec.write(socket, TestingEngineCodec.firstPage(id, 1), PAGES.get(0));
        }
    }

    private void endRun(String id, Set<String> running) {
        if (running.remove(id)) {
            runs.ended(id);
        }
    }

    private void respond(Socket socket, String id, Set<String> running) throws IOException {
        EngineBehavior current = behavior;
        if (current == EngineBehavior.NO_RESPONSE || current == EngineBehavior.RESPOND_AFTER_CANCEL) {
            return;
        }
        endRun(id, running);
        String firstPage = TestingEngineCodec.firstPage(id, PAGES.size());
        String onlyPage = TestingEngineCodec.firstPage(id, 1);
        switch (current) {
            case UNRESPONSIVE -> {}
            case DUPLICATE_RESPONSES -> {
                TestingEngineCodec.write(socket, TestingEngineCodec.firstPage(UNKNOWN_ID, 1), PAGES.get(0));
                TestingEngineCodec.write(socket, firstPage, PAGES.get(0));
                TestingEngineCodec.write(socket, firstPage, PAGES.get(0));
            }
            case PROGRESS_REPORTS -> reportProgress(socket, id, firstPage);
            case CONTROL_CHARACTER -> TestingEngineCodec.write(socket, onlyPage, "a\tb\u0001\tc\n");
            case MISSING_PAGE_COUNT -> {
                String head = TestingEngineCodec.firstPageWithoutCount(id);
                TestingEngineCodec.write(socket, head, PAGES.get(0));
            }
            case TRUNCATED_REPLY -> TestingEngineCodec.writeStart(socket, onlyPage, ANNOUNCED_BYTES, "a\tb");
            case LARGE_RESULT -> {
                String head = TestingEngineCodec.firstPage(id, LARGE_PAGES);
                TestingEngineCodec.write(socket, head, LARGE_PAGE);
            }
            case EXPIRED -> TestingEngineCodec.write(socket, TestingEngineCodec.expired(id), "");
            case CLOSE -> socket.close();
            case REJECT_TWICE -> rejectTwice(socket, id);
            case ENDLESS_REPLY -> writeEndlessly(socket, onlyPage);
            case ERROR -> TestingEngineCodec.write(socket, TestingEngineCodec.error(id), "");
            case REJECT -> TestingEngineCodec.write(socket, TestingEngineCodec.rejected(id), "");
            case RESET, RESET_LIMITED -> {
                if (resetsLeft.decrementAndGet() == 0) {
                    behavior = EngineBehavior.SERVE;
                }
                reset(socket);
            }
            case MALFORMED_REPLY_ONCE -> {
                behavior = EngineBehavior.SERVE;
                TestingEngineCodec.write(socket, TestingEngineCodec.malformed(), "x");
            }
            case MALFORMED_REPLY -> TestingEngineCodec.write(socket, TestingEngineCodec.malformed(), "x");
            default -> TestingEngineCodec.write(socket, firstPage, PAGES.get(0));
        }
    }

    private static void reportProgress(Socket socket, String id, String firstPage) throws IOException {
        for (String fields : TestingEngineCodec.PROGRESS) {
            TestingEngineCodec.write(socket, TestingEngineCodec.progress(id, fields), "");
        }
        TestingEngineCodec.write(socket, TestingEngineCodec.unhealthy("t0"), "");
        TestingEngineCodec.write(socket, firstPage, PAGES.get(0));
        TestingEngineCodec.write(socket, TestingEngineCodec.progress(id, "n=done,datum=1"), "");
    }

    /** Rejects the request now, and once more when the next attempt arrives. */
    private void rejectTwice(Socket socket, String id) throws IOException {
        TestingEngineCodec.write(socket, TestingEngineCodec.rejected(id), "");
        behavior = EngineBehavior.SERVE;
        onRequest = () -> {
            onRequest = () -> {};
            try {
                TestingEngineCodec.write(socket, TestingEngineCodec.rejected(id), "");
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        };
    }

    private static void writeEndlessly(Socket socket, String head) throws IOException {
        TestingEngineCodec.writeStart(socket, head, ANNOUNCED_BYTES, "");
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
