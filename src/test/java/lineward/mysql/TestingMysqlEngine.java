package lineward.mysql;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A minimal MySQL engine for tests. It answers a statement that contains {@code rows=N size=BYTES} with N
 * rows of more than this size, and one with {@code columns=N size=BYTES} with N columns with names of this
 * size and no rows, unless it has a {@link Fault}.
 */
final class TestingMysqlEngine implements AutoCloseable {
    /** How the engine fails. */
    enum Fault {
        NONE,
        // With these faults the engine resets all connections at some point and stops listening.
        CRASH_AFTER_PREPARE,
        CRASH_BEFORE_EXECUTE,
        CRASH_IN_EXECUTE,
        CRASH_BEFORE_FIRST_ROW,
        CRASH_BETWEEN_ROWS,
        CRASH_BEFORE_LAST_PACKET,
        /** The engine ends the reply to a statement with an error after half of the rows. */
        ERROR_BETWEEN_ROWS,
        /** The engine answers a statement only when the statement is killed. */
        SILENT,
        /** The engine rejects new connections. */
        TOO_MANY_CONNECTIONS,
        /** The engine answers a statement with an empty packet. */
        MALFORMED_REPLY,
        /** The engine's OK packets for a schema have a text of 70 KB. */
        LONG_OK
    }

    /** A step of a connection whose reply may have a {@link ReplyDefect}. */
    enum Step {
        LOGIN,
        SETTINGS,
        SCHEMA,
        PREPARATION,
        EXECUTION
    }

    /** What an engine sends in place of one correct reply. */
    enum ReplyDefect {
        NONE,
        /** The reply and, in the same write, a second copy of it. */
        SENT_TWICE,
        /** A result with one row. */
        RESULT_INSTEAD,
        /** The reply and, in the same write, the first part of another packet. */
        PARTIAL_PACKET_BEHIND
    }

    private static final int LONG_OK_TEXT_BYTES = 70_000;
    /** A statement with this text is answered only when it is killed. */
    static final String SILENT_TEXT = "silent";

    private static final byte[] PARTIAL_PACKET = {7, 0, 0, 1, 0, 0};

    /**
     * An executed statement, with the state of its session before the execution.
     *
     * @param settings the settings that apply to the statement: for a prepared one, those at its preparation
     * @param sessionChanges earlier statements that changed the session, see {@link TestingMysqlSession}
     */
    record Execution(String text, String settings, String schema, String sessionChanges) {}

    private static final Pattern ROWS = Pattern.compile("rows=(\\d+)(?: size=(\\d+))?");
    private static final Pattern COLUMNS = Pattern.compile("columns=(\\d+) size=(\\d+)");
    private static final AtomicInteger RUNNING_COUNT = new AtomicInteger();
    static final AtomicInteger MAX_RUNNING_COUNT = new AtomicInteger();

    final List<String> executedTexts = new CopyOnWriteArrayList<>();
    final List<String> commands = new CopyOnWriteArrayList<>();
    final List<Execution> executions = new CopyOnWriteArrayList<>();
    /** Called for each SET statement before its reply. */
    volatile Runnable beforeSetReply = () -> {};

    private final ServerSocket server;
    private final Thread acceptor;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Map<Long, CountDownLatch> killLatches = new ConcurrentHashMap<>();
    private final AtomicInteger lastSessionId = new AtomicInteger();
    volatile Fault fault = Fault.NONE;
    /** Called at the start of {@link #crash} and before the reply with {@link Fault#MALFORMED_REPLY}. */
    volatile Runnable beforeFault = () -> {};

    /** The replies to this step have the defect. */
    volatile Step defectiveStep = Step.EXECUTION;

    volatile ReplyDefect replyDefect = ReplyDefect.NONE;

    /** Statements that this engine is executing; guarded by this. */
    private int runningHere;

    private volatile long lastByteNanos;
    private volatile long nextStatementNanos;

    TestingMysqlEngine() throws IOException {
        this(0);
    }

    /** @param port port to listen on; 0 for any free one */
    TestingMysqlEngine(int port) throws IOException {
        server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        acceptor = new Thread(this::accept, "engine");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    int port() {
        return server.getLocalPort();
    }

    /** Returns whether the engine has stopped listening. */
    boolean crashed() {
        return server.isClosed();
    }

    /**
     * Returns the time in milliseconds from the last byte of the last long result to the next statement.
     *
     * @param limitNanos {@link System#nanoTime} that ends the time if there was no next statement
     */
    double msUntilNextStatement(long limitNanos) {
        long nextNanos = nextStatementNanos > lastByteNanos ? nextStatementNanos : limitNanos;
        return (nextNanos - lastByteNanos) / 1e6;
    }

    int socketCount() {
        return sockets.size();
    }

    /** Resets all connections and stops listening, like a process that is killed. */
    void crash() throws IOException {
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
        crash();
        try {
            // The port stays in use until accept returns; no other engine could bind it before.
            acceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        forgetRunningStatements();
    }

    /** A silent statement that is never killed must not count in later tests. */
    private synchronized void forgetRunningStatements() {
        RUNNING_COUNT.addAndGet(-runningHere);
        runningHere = 0;
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                sockets.add(socket);
                Thread session = new Thread(() -> serve(socket), "session");
                session.setDaemon(true);
                session.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        long id = lastSessionId.incrementAndGet();
        killLatches.put(id, new CountDownLatch(1));
        try (socket) {
            MysqlPacketSocket packets = new MysqlPacketSocket(socket);
            if (fault == Fault.TOO_MANY_CONNECTIONS) {
                packets.write(MysqlPacketSocket.error(1040, "08004", "too many"));
                return;
            }
            TestingMysqlSession session = new TestingMysqlSession(id, packets);
            session.sendGreeting();
            packets.read();
            send(Step.LOGIN, packets, () -> packets.write(MysqlPacketSocket.ok()));
            while (true) {
                packets.sequence = 0;
                byte[] command = packets.read();
                packets.sequence = 1;
                send(stepOf(command), packets, () -> reply(command, session));
            }
        } catch (IOException | InterruptedException e) {
            // The program closed the connection, or the engine reset it.
        } finally {
            sockets.remove(socket);
        }
    }

    /** Sends the reply to one command. */
    private interface Reply {
        void send() throws IOException, InterruptedException;
    }

    private static Step stepOf(byte[] command) {
        String arguments = new String(command, 1, command.length - 1, StandardCharsets.UTF_8);
        boolean setsVariables = arguments.startsWith("SET SESSION");
        return switch (command[0]) {
            case 0x02 -> Step.SCHEMA;
            case 0x16 -> Step.PREPARATION;
            default -> setsVariables ? Step.SETTINGS : Step.EXECUTION;
        };
    }

    /** Sends a reply, with the defect if it is one of the defective step. */
    private void send(Step step, MysqlPacketSocket to, Reply reply) throws IOException, InterruptedException {
        ReplyDefect defect = step == defectiveStep ? replyDefect : ReplyDefect.NONE;
        if (defect == ReplyDefect.NONE) {
            reply.send();
            return;
        }
        to.holdOutput();
        if (defect == ReplyDefect.RESULT_INSTEAD) {
            sendRows(to, "rows=1 that nobody asked for", false);
        } else {
            reply.send();
        }
        byte[] trailer = defect == ReplyDefect.PARTIAL_PACKET_BEHIND ? PARTIAL_PACKET : new byte[0];
        to.sendHeldOutput(defect == ReplyDefect.SENT_TWICE ? 2 : 1, trailer);
    }

    private void reply(byte[] command, TestingMysqlSession session) throws IOException, InterruptedException {
        MysqlPacketSocket packets = session.packets;
        String text = new String(command, 1, command.length - 1, StandardCharsets.UTF_8);
        switch (command[0]) {
            case 0x02 -> {
                commands.add("use " + text);
                session.schema = text;
                packets.write(
                        text.equals("nowhere")
                                ? MysqlPacketSocket.error(1049, "42000", "unknown")
                                : MysqlPacketSocket.encode(MysqlPacketSocket.ok(), okText()));
            }
            case 0x03 -> execute(packets, text, session, "");
            case 0x16 -> {
                commands.add("prepare " + text);
                long statementId = session.preparedTexts.size() + 100L;
                session.preparedTexts.put(statementId, text);
                session.settingsAtPreparation.put(statementId, session.settings.toString());
                int parameterCount = (int) text.chars().filter(c -> c == '?').count();
                packets.write(0, statementId, 1, 0, parameterCount & 0xff, parameterCount >> 8, 0, 0, 0);
                for (int i = 0; i < parameterCount; i++) {
                    packets.write(columnDefinition("?"));
                }
                if (parameterCount > 0) {
                    packets.write(MysqlPacketSocket.eof());
                }
                packets.write(columnDefinition("c"));
                packets.write(MysqlPacketSocket.eof());
                if (fault == Fault.CRASH_AFTER_PREPARE) {
                    crash();
                }
            }
            case 0x17 -> {
                if (fault == Fault.CRASH_BEFORE_EXECUTE) {
                    crash();
                    return;
                }
                String statement = session.preparedTexts.get(statementId(command));
                commands.add("execute " + Arrays.toString(Arrays.copyOfRange(command, 5, command.length)));
                execute(packets, statement, session, session.settingsAtPreparation.get(statementId(command)));
            }
            case 0x18 -> commands.add("long " + statementId(command) + " " + text.substring(6));
            case 0x19 -> commands.add("close");
            default -> packets.write(MysqlPacketSocket.error(1047, "08S01", "unknown command"));
        }
    }

    private byte[] okText() {
        return new byte[fault == Fault.LONG_OK ? LONG_OK_TEXT_BYTES : 0];
    }

    private static long statementId(byte[] command) {
        return (command[1] & 0xff) | (command[2] & 0xff) << 8;
    }

    /** @param preparationSettings settings at the statement's preparation; empty if it is sent as text */
    private void execute(
            MysqlPacketSocket packets, String text, TestingMysqlSession session, String preparationSettings)
            throws IOException, InterruptedException {
        if (text.startsWith("KILL QUERY ")) {
            commands.add(text);
            killLatches.get(Long.parseLong(text.substring(11))).countDown();
            packets.write(MysqlPacketSocket.ok());
            return;
        }
        if (text.startsWith("SET SESSION")) {
            commands.add(text);
            beforeSetReply.run();
            packets.write(
                    session.applySettings(text)
                            ? MysqlPacketSocket.ok()
                            : MysqlPacketSocket.error(1193, "HY000", "unknown variable"));
            return;
        }
        if (nextStatementNanos <= lastByteNanos) {
            nextStatementNanos = System.nanoTime();
        }
        executedTexts.add(text);
        executions.add(new Execution(
                text,
                preparationSettings.isEmpty() ? session.settings.toString() : preparationSettings,
                session.schema,
                session.sessionChanges));
        session.recordChange(text);
        statementStarted();
        try {
            if (fault == Fault.CRASH_IN_EXECUTE) {
                crash();
            } else if (fault == Fault.MALFORMED_REPLY) {
                beforeFault.run();
                packets.write(new byte[0]);
            } else if (fault == Fault.SILENT || text.contains(SILENT_TEXT)) {
                killLatches.get(session.id).await();
                packets.write(MysqlPacketSocket.error(1317, "70100", "interrupted"));
            } else if (text.contains("syntax")) {
                packets.write(MysqlPacketSocket.error(1064, "42000", "syntax"));
            } else {
                sendRows(packets, text, !preparationSettings.isEmpty());
            }
        } finally {
            statementEnded();
        }
    }

    private synchronized void statementStarted() {
        runningHere++;
        MAX_RUNNING_COUNT.accumulateAndGet(RUNNING_COUNT.incrementAndGet(), Math::max);
    }

    private synchronized void statementEnded() {
        if (runningHere > 0) {
            runningHere--;
            RUNNING_COUNT.decrementAndGet();
        }
    }

    private void sendRows(MysqlPacketSocket packets, String text, boolean binary) throws IOException {
        Matcher columns = COLUMNS.matcher(text);
        if (columns.find()) {
            sendColumns(packets, Integer.parseInt(columns.group(1)), Integer.parseInt(columns.group(2)));
            return;
        }
        Matcher requested = ROWS.matcher(text);
        if (!requested.find()) {
            packets.write(
                    text.contains("opens a transaction")
                            ? MysqlPacketSocket.encode(0, 0, 0, 3, 0, 0, 0)
                            : MysqlPacketSocket.ok());
            return;
        }
        int rowCount = Integer.parseInt(requested.group(1));
        packets.write(1);
        packets.write(columnDefinition("c"));
        packets.write(MysqlPacketSocket.eof());
        String padding = requested.group(2) == null ? "" : "x".repeat(Integer.parseInt(requested.group(2)));
        packets.beginBatch();
        for (int i = 0; i < rowCount; i++) {
            boolean halfSent = fault == Fault.CRASH_BETWEEN_ROWS && i == rowCount / 2;
            if (halfSent || fault == Fault.CRASH_BEFORE_FIRST_ROW) {
                packets.flush();
                crash();
            }
            if (fault == Fault.ERROR_BETWEEN_ROWS && i == rowCount / 2) {
                packets.flush();
                packets.write(MysqlPacketSocket.error(1317, "70100", "interrupted"));
                return;
            }
            byte[] row = MysqlPacketSocket.lengthEncoded("row " + i + " of " + text + padding);
            if (binary) {
                packets.write(0, 0, row);
            } else {
                packets.write((Object) row);
            }
        }
        packets.flush();
        if (fault == Fault.CRASH_BEFORE_LAST_PACKET) {
            crash();
        }
        packets.write(MysqlPacketSocket.eof());
        if (rowCount > 100) {
            lastByteNanos = System.nanoTime();
            nextStatementNanos = 0;
        }
    }

    private static void sendColumns(MysqlPacketSocket packets, int count, int size) throws IOException {
        packets.write(0xfc, count & 0xff, count >> 8);
        for (int i = 0; i < count; i++) {
            packets.write(columnDefinition("c".repeat(size)));
        }
        packets.write(MysqlPacketSocket.eof());
        packets.write(MysqlPacketSocket.eof());
    }

    private static byte[] columnDefinition(String name) {
        return MysqlPacketSocket.encode(
                MysqlPacketSocket.lengthEncoded("def"),
                0,
                0,
                0,
                MysqlPacketSocket.lengthEncoded(name),
                0,
                12,
                45,
                0,
                100L,
                253,
                0,
                0,
                0,
                0,
                0);
    }
}
