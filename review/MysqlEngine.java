import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A small engine that speaks the MySQL protocol. A statement with the word report has as many rows as it names
 * after that word; every other one has one row, which holds the statement.
 */
final class MysqlEngine {
    /** What happens after some rows of a report. */
    enum Trouble {
        NONE,
        /** The query is interrupted: error 1317 in place of the next row. */
        ERROR,
        /** Some answers are followed at once by a second copy of them. */
        SECOND_COPY
    }

    private static final int ROW_BYTES = 1000;
    private final String name;
    private final ServerSocket server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
    private final AtomicInteger threads = new AtomicInteger();
    private final Map<Integer, Boolean> killed = new ConcurrentHashMap<>();
    volatile Trouble trouble = Trouble.NONE;
    /** Time that a statement takes. */
    volatile int workMs;

    volatile int troubleAfterRows;
    /** How many of ten statements, or of ten answers, meet the trouble. */
    volatile int failsOfTen = 10;

    private final AtomicInteger statements = new AtomicInteger();
    private final AtomicInteger answers = new AtomicInteger();

    MysqlEngine(String name) throws IOException {
        this.name = name;
        Journal.start(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Returns the text of a row. */
    static String row(String statement, int number) {
        if (rows(statement) == 1) {
            return "of " + statement;
        }
        return number + "-" + "r".repeat(ROW_BYTES - 1 - Integer.toString(number).length());
    }

    static int rows(String statement) {
        int at = statement.indexOf("report ");
        return at < 0 ? 1 : Integer.parseInt(statement.substring(at + 7).replaceAll("\\D.*", ""));
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                int thread = threads.incrementAndGet();
                Journal.start(() -> serve(socket, thread));
            }
        } catch (IOException e) {
            // The process ends.
        }
    }

    private void serve(Socket socket, int thread) {
        try (socket) {
            socket.setTcpNoDelay(true);
            new Session(socket, thread).serve();
        } catch (IOException e) {
            Record.line(name + ": connection " + thread + " ended: " + e.getMessage());
        }
    }

    private final class Session {
        private final DataInputStream in;
        private final OutputStream out;
        private final int thread;
        private final List<String> prepared = new ArrayList<>();
        /** The packets of the current answer. */
        private final ByteArrayOutputStream answer = new ByteArrayOutputStream();

        private int sequence;

        Session(Socket socket, int thread) throws IOException {
            in = new DataInputStream(socket.getInputStream());
            out = new BufferedOutputStream(socket.getOutputStream(), 16_384);
            this.thread = thread;
        }

        void serve() throws IOException {
            sequence = 0;
            ByteArrayOutputStream greeting = new ByteArrayOutputStream();
            greeting.write(10);
            greeting.write("8.0.36\0".getBytes(StandardCharsets.US_ASCII));
            int32(greeting, thread);
            greeting.write("abcdefgh\0".getBytes(StandardCharsets.US_ASCII));
            // Protocol 4.1, transactions, secure connection, plugin authentication.
            int capabilities = 0x0000_0200 | 1 | 8 | 0x2000 | 0x8000 | 0x80000;
            int16(greeting, capabilities & 0xffff);
            greeting.write(45);
            int16(greeting, 2);
            int16(greeting, capabilities >>> 16);
            greeting.write(21);
            greeting.write(new byte[10]);
            greeting.write("ijklmnopqrst\0".getBytes(StandardCharsets.US_ASCII));
            greeting.write("mysql_native_password\0".getBytes(StandardCharsets.US_ASCII));
            send(greeting.toByteArray());
            read();
            send(new byte[] {0, 0, 0, 2, 0, 0, 0});
            while (true) {
                byte[] command = read();
                String text = new String(command, 1, command.length - 1, StandardCharsets.UTF_8);
                switch (command[0]) {
                    case 1 -> {
                        return;
                    }
                    case 2, 14 -> ok();
                    case 3 -> query(text);
                    case 0x16 -> prepare(text);
                    case 0x17 -> execute(command);
                    case 0x18, 0x19 -> {
                        // No answer.
                    }
                    default -> error(1047, "08S01", "unknown command");
                }
            }
        }

        private void query(String text) throws IOException {
            Record.line(name + ": connection " + thread + " query: " + (text.length() > 200 ? text.substring(0, 200) : text));
            if (text.startsWith("KILL QUERY ")) {
                killed.put(Integer.parseInt(text.substring(11).trim()), true);
                ok();
            } else if (text.toLowerCase().startsWith("select")) {
                result(text, false);
            } else {
                ok();
            }
        }

        private void prepare(String text) throws IOException {
            Record.line(name + ": connection " + thread + " prepare: " + text);
            prepared.add(text);
            ByteArrayOutputStream reply = new ByteArrayOutputStream();
            reply.write(0);
            int32(reply, prepared.size());
            int16(reply, 1);
            int16(reply, 0);
            reply.write(0);
            int16(reply, 0);
            send(reply.toByteArray());
            send(column());
            eof();
            endAnswer();
        }

        private void execute(byte[] command) throws IOException {
            int id = command[1] & 0xff | (command[2] & 0xff) << 8;
            Record.line(name + ": connection " + thread + " execute " + id);
            result(prepared.get(id - 1), true);
        }

        private void result(String text, boolean binary) throws IOException {
            killed.remove(thread);
            work();
            send(new byte[] {1});
            send(column());
            eof();
            int rows = rows(text);
            boolean fails = statements.getAndIncrement() * 7 % 10 < failsOfTen;
            for (int i = 0; i < rows; i++) {
                if (fails && trouble == Trouble.ERROR && i == Math.min(troubleAfterRows, rows - 1)) {
                    Record.line(name + ": error after " + i + " of " + rows + " rows");
                    error(1317, "70100", "Query execution was interrupted");
                    return;
                }
                if (killed.containsKey(thread)) {
                    error(1317, "70100", "Query execution was interrupted");
                    return;
                }
                ByteArrayOutputStream row = new ByteArrayOutputStream();
                if (binary) {
                    row.write(0);
                    row.write(0);
                }
                byte[] value = row(text, i).getBytes(StandardCharsets.US_ASCII);
                row.write(0xfc);
                int16(row, value.length);
                row.write(value);
                send(row.toByteArray());
            }
            eof();
            endAnswer();
            Record.line(name + ": connection " + thread + " sent all " + rows + " rows");
        }

        private void work() throws IOException {
            try {
                Thread.sleep(workMs);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        private byte[] column() throws IOException {
            ByteArrayOutputStream column = new ByteArrayOutputStream();
            for (String text : new String[] {"def", "", "t", "t", "a", "a"}) {
                column.write(text.length());
                column.write(text.getBytes(StandardCharsets.US_ASCII));
            }
            column.write(12);
            int16(column, 45);
            int32(column, 4000);
            column.write(0xfd);
            int16(column, 0);
            column.write(0);
            int16(column, 0);
            return column.toByteArray();
        }

        private void ok() throws IOException {
            send(new byte[] {0, 0, 0, 2, 0, 0, 0});
            endAnswer();
        }

        private void eof() throws IOException {
            send(new byte[] {(byte) 0xfe, 0, 0, 2, 0});
        }

        private void endAnswer() throws IOException {
            if (trouble == Trouble.SECOND_COPY && answers.getAndIncrement() * 7 % 10 < failsOfTen) {
                Record.line(name + ": connection " + thread + " sends a second copy of " + answer.size() + " bytes");
                out.write(answer.toByteArray());
            }
            out.flush();
        }

        private void error(int code, String state, String message) throws IOException {
            ByteArrayOutputStream error = new ByteArrayOutputStream();
            error.write(0xff);
            int16(error, code);
            error.write(("#" + state + message).getBytes(StandardCharsets.US_ASCII));
            send(error.toByteArray());
            out.flush();
        }

        private void send(byte[] payload) throws IOException {
            ByteArrayOutputStream packet = new ByteArrayOutputStream(payload.length + 4);
            int16(packet, payload.length);
            packet.write(payload.length >>> 16);
            packet.write(sequence++);
            packet.write(payload);
            answer.write(packet.toByteArray());
            out.write(packet.toByteArray());
        }

        private byte[] read() throws IOException {
            out.flush();
            int length = in.readUnsignedByte() | in.readUnsignedByte() << 8 | in.readUnsignedByte() << 16;
            sequence = in.readUnsignedByte() + 1;
            answer.reset();
            byte[] payload = new byte[length];
            in.readFully(payload);
            return payload;
        }
    }

    private static void int16(ByteArrayOutputStream out, int value) {
        out.write(value);
        out.write(value >>> 8);
    }

    private static void int32(ByteArrayOutputStream out, int value) {
        int16(out, value);
        int16(out, value >>> 16);
    }
}
