import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A sound MySQL engine: it accepts each login, numbers the prepared statements of each connection from 1, and
 * answers each statement with one row that says which engine ran which text. A case may replace what it does
 * with a statement, and may make it stand still: it then takes what it is sent and answers nothing.
 */
class MysqlEngine2 {
    private static final AtomicInteger THREAD_IDS = new AtomicInteger(100);

    final String name;
    final ServerSocket server;
    private final Record2 record;
    private final Set<Socket> sessions = ConcurrentHashMap.newKeySet();
    private boolean still;

    MysqlEngine2(String name, Record2 record) throws IOException {
        this.name = name;
        this.record = record;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Thread acceptor = new Thread(this::accept, name);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    int port() {
        return server.getLocalPort();
    }

    /** Closes all connections, which must be idle. */
    void closeIdleConnections() throws IOException {
        for (Socket session : sessions) {
            sessions.remove(session);
            session.close();
        }
        record.line("engine %s closes its idle connections", name);
    }

    /** Makes the engine stand still, or go on. */
    synchronized void setStill(boolean standsStill) {
        still = standsStill;
        notifyAll();
    }

    synchronized void awaitRunning() {
        while (still) {
            try {
                wait();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                Thread session = new Thread(() -> serve(socket), name + " session");
                session.setDaemon(true);
                session.start();
            }
        } catch (IOException e) {
            // The engine has ended.
        }
    }

    private void serve(Socket socket) {
        int thread = THREAD_IDS.incrementAndGet();
        sessions.add(socket);
        try (socket) {
            socket.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 1 << 16);
            awaitRunning();
            Packets2.write(out, 0, greeting(thread));
            out.flush();
            Packets2.read(in);
            awaitRunning();
            Packets2.write(out, 2, Packets2.ok());
            out.flush();
            Map<Integer, String> prepared = new HashMap<>();
            int lastId = 0;
            while (true) {
                Packets2.Packet command = Packets2.read(in);
                int type = command.type();
                if (type == Packets2.LONG_DATA) {
                    continue;
                }
                awaitRunning();
                if (type == Packets2.PREPARE) {
                    lastId++;
                    prepared.put(lastId, command.text(1));
                    record.line("engine %s thread %d prepares as %d: %s", name, thread, lastId, command.text(1));
                    prepare(out, lastId, command.text(1));
                } else if (type == Packets2.EXECUTE) {
                    run(out, thread, prepared.get(command.int32(1)), true);
                } else if (type == Packets2.QUERY) {
                    run(out, thread, command.text(1), false);
                } else if (type == Packets2.CLOSE_STATEMENT) {
                    prepared.remove(command.int32(1));
                } else if (type == 0x01) {
                    return;
                } else {
                    Packets2.write(out, 1, Packets2.ok());
                }
                out.flush();
            }
        } catch (IOException e) {
            // The front end has closed the connection.
        }
    }

    private static byte[] greeting(int thread) {
        return Packets2.payload(
                10, "8.0.36", 0, Packets2.int32(thread), "abcdefgh", 0, Packets2.int16(0xa208), 45,
                Packets2.int16(Packets2.AUTOCOMMIT), Packets2.int16(8), 21, new byte[10], "ijklmnopqrst", 0,
                "mysql_native_password", 0);
    }

    /** Returns how many columns the result of a statement has. */
    int columnCount(String text) {
        return 1;
    }

    private void prepare(OutputStream out, int id, String text) throws IOException {
        int parameters = (int) text.chars().filter(c -> c == '?').count();
        int columns = isWrite(text) ? 0 : columnCount(text);
        int sequence = 1;
        Packets2.write(
                out,
                sequence++,
                Packets2.payload(
                        0, Packets2.int32(id), Packets2.int16(columns), Packets2.int16(parameters), 0, 0, 0));
        for (int i = 0; i < parameters; i++) {
            Packets2.write(out, sequence++, Packets2.column("?"));
        }
        if (parameters > 0) {
            Packets2.write(out, sequence++, Packets2.eof());
        }
        for (int i = 0; i < columns; i++) {
            Packets2.write(out, sequence++, Packets2.column(columnName(i)));
        }
        if (columns > 0) {
            Packets2.write(out, sequence, Packets2.eof());
        }
    }

    static String columnName(int index) {
        return String.format("place_record_column_%04d", index);
    }

    static boolean isWrite(String text) {
        return text.regionMatches(true, 0, "insert", 0, 6);
    }

    private void run(OutputStream out, int thread, String text, boolean binary) throws IOException {
        if (text.regionMatches(true, 0, "set ", 0, 4)) {
            record.line("engine %s thread %d sets: %s", name, thread, text);
            Packets2.write(out, 1, Packets2.ok());
            return;
        }
        if (text.regionMatches(true, 0, "kill ", 0, 5)) {
            record.line("engine %s thread %d: %s", name, thread, text);
            Packets2.write(out, 1, Packets2.ok());
            return;
        }
        record.line("engine %s thread %d runs: %s", name, thread, text);
        execute(out, text, binary);
        record.line("engine %s thread %d has answered: %s", name, thread, text);
    }

    /** Runs a statement and writes the reply. */
    void execute(OutputStream out, String text, boolean binary) throws IOException {
        if (isWrite(text)) {
            Packets2.write(out, 1, Packets2.ok());
            return;
        }
        int columns = columnCount(text);
        int sequence = writeHead(out, columns);
        byte[] value = ("ran " + text).getBytes(StandardCharsets.UTF_8);
        Packets2.write(out, sequence++, row(columns, value, binary));
        Packets2.write(out, sequence, Packets2.eof());
    }

    /** Writes the head of a result; returns the sequence number of the next packet. */
    static int writeHead(OutputStream out, int columns) throws IOException {
        int sequence = 1;
        Packets2.write(
                out, sequence++, columns < 251 ? Packets2.payload(columns) : Packets2.payload(0xfc, Packets2.int16(columns)));
        for (int i = 0; i < columns; i++) {
            Packets2.write(out, sequence++, Packets2.column(columnName(i)));
        }
        Packets2.write(out, sequence++, Packets2.eof());
        return sequence;
    }

    static byte[] row(int columns, byte[] value, boolean binary) {
        Object[] parts = new Object[columns + 1];
        parts[0] = binary ? new byte[1 + (columns + 9) / 8] : new byte[0];
        for (int i = 0; i < columns; i++) {
            parts[i + 1] = Packets2.lengthEncoded(i == 0 ? value : new byte[] {'-'});
        }
        return Packets2.payload(parts);
    }
}
