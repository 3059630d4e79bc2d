import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;

/** A client that speaks the MySQL protocol, with EOF packets; sends one command at a time. */
final class MysqlClient implements AutoCloseable {
    /**
     * The reply to a statement.
     *
     * @param rows number of rows
     * @param end "complete", "error N", or "nothing" if no more came in time
     * @param lastRowSent whether the end says that the cursor has no more rows
     * @param lastRow the last row of a reply to a statement that was sent as text; empty without rows
     */
    record Reply(int rows, String end, boolean lastRowSent, String lastRow) {
        Reply(int rows, String end, boolean lastRowSent) {
            this(rows, end, lastRowSent, "");
        }

        boolean isComplete() {
            return end.equals("complete");
        }
    }

    private final Socket socket;
    private final DataInputStream in;
    private int sequence;

    MysqlClient(int port, String user, String password) throws Exception {
        socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setTcpNoDelay(true);
        in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream(), 65_536));
        socket.setSoTimeout(5000);
        login(read(), user, password);
    }

    private void login(byte[] greeting, String user, String password) throws Exception {
        int at = 1;
        while (greeting[at] != 0) {
            at++;
        }
        at += 5;
        byte[] nonce = new byte[20];
        System.arraycopy(greeting, at, nonce, 0, 8);
        System.arraycopy(greeting, at + 8 + 19, nonce, 8, 12);
        MessageDigest sha1 = MessageDigest.getInstance("SHA-1");
        byte[] once = sha1.digest(password.getBytes(StandardCharsets.UTF_8));
        byte[] twice = sha1.digest(once);
        sha1.update(nonce);
        byte[] proof = sha1.digest(twice);
        for (int i = 0; i < proof.length; i++) {
            proof[i] ^= once[i];
        }
        ByteArrayOutputStream login = new ByteArrayOutputStream();
        int32(login, 0x200 | 1 | 0x2000 | 0x8000 | 0x80000);
        int32(login, 1 << 24);
        login.write(45);
        login.write(new byte[23]);
        login.write((user + "\0").getBytes(StandardCharsets.UTF_8));
        login.write(proof.length);
        login.write(proof);
        login.write("mysql_native_password\0".getBytes(StandardCharsets.US_ASCII));
        send(login.toByteArray());
        byte[] answer = read();
        if (answer[0] != 0) {
            throw new IOException("login rejected");
        }
    }

    /** Sends a statement as text and reads its reply, for at most that many milliseconds. */
    Reply query(String text, int waitMs) throws IOException {
        command(3, text.getBytes(StandardCharsets.UTF_8));
        return readResult(waitMs);
    }

    /** Prepares a statement and returns its id. */
    int prepare(String text) throws IOException {
        socket.setSoTimeout(5000);
        command(0x16, text.getBytes(StandardCharsets.UTF_8));
        byte[] reply = read();
        if (reply[0] != 0) {
            throw new IOException("not prepared: " + error(reply));
        }
        int columns = reply[5] & 0xff;
        int parameters = reply[7] & 0xff;
        for (int i = 0; i < columns + (columns > 0 ? 1 : 0) + parameters + (parameters > 0 ? 1 : 0); i++) {
            read();
        }
        return reply[1] & 0xff | (reply[2] & 0xff) << 8;
    }

    /** Executes a prepared statement with a read-only cursor; returns "opened" or why not. */
    String openCursor(int id, int waitMs) throws IOException {
        command(0x17, new byte[] {(byte) id, (byte) (id >>> 8), 0, 0, 1, 1, 0, 0, 0});
        socket.setSoTimeout(waitMs);
        try {
            byte[] head = read();
            if ((head[0] & 0xff) == 0xff) {
                return error(head);
            }
            for (int i = 0; i <= head[0]; i++) {
                read();
            }
            return "opened";
        } catch (SocketTimeoutException e) {
            return "nothing";
        }
    }

    /** Fetches rows from the cursor of a statement. */
    Reply fetch(int id, int rows, int waitMs) throws IOException {
        ByteArrayOutputStream arguments = new ByteArrayOutputStream();
        int32(arguments, id);
        int32(arguments, rows);
        command(0x1c, arguments.toByteArray());
        socket.setSoTimeout(waitMs);
        return readRows(waitMs);
    }

    private Reply readResult(int waitMs) throws IOException {
        socket.setSoTimeout(waitMs);
        try {
            byte[] head = read();
            if ((head[0] & 0xff) == 0xff) {
                return new Reply(0, error(head), false);
            }
            if (head[0] == 0) {
                return new Reply(0, "complete", false);
            }
            for (int i = 0; i <= head[0]; i++) {
                read();
            }
        } catch (SocketTimeoutException e) {
            return new Reply(0, "nothing", false);
        }
        return readRows(waitMs);
    }

    private Reply readRows(int waitMs) throws IOException {
        int rows = 0;
        byte[] last = {};
        long until = Record.now() + waitMs;
        try {
            while (true) {
                socket.setSoTimeout((int) Math.max(1, until - Record.now()));
                byte[] packet = read();
                int first = packet[0] & 0xff;
                if (first == 0xff) {
                    return new Reply(rows, error(packet), false);
                }
                if (first == 0xfe && packet.length < 9) {
                    return new Reply(rows, "complete", (packet[3] & 0x80) != 0, text(last));
                }
                rows++;
                last = packet;
            }
        } catch (SocketTimeoutException e) {
            return new Reply(rows, "nothing", false);
        }
    }

    /** Returns the value of a row with one column. */
    private static String text(byte[] row) {
        int start = row.length > 0 && (row[0] & 0xff) == 0xfc ? 3 : 1;
        return row.length <= start ? "" : new String(row, start, row.length - start, StandardCharsets.UTF_8);
    }

    private static String error(byte[] packet) {
        String text = new String(Arrays.copyOfRange(packet, 3, packet.length), StandardCharsets.UTF_8);
        return "error " + (packet[1] & 0xff | (packet[2] & 0xff) << 8) + " " + text;
    }

    private void command(int code, byte[] arguments) throws IOException {
        sequence = 0;
        byte[] payload = new byte[arguments.length + 1];
        payload[0] = (byte) code;
        System.arraycopy(arguments, 0, payload, 1, arguments.length);
        send(payload);
    }

    private void send(byte[] payload) throws IOException {
        byte[] packet = new byte[payload.length + 4];
        packet[0] = (byte) payload.length;
        packet[1] = (byte) (payload.length >>> 8);
        packet[2] = (byte) (payload.length >>> 16);
        packet[3] = (byte) sequence++;
        System.arraycopy(payload, 0, packet, 4, payload.length);
        socket.getOutputStream().write(packet);
    }

    private byte[] read() throws IOException {
        int length = in.readUnsignedByte() | in.readUnsignedByte() << 8 | in.readUnsignedByte() << 16;
        sequence = in.readUnsignedByte() + 1;
        byte[] payload = new byte[length];
        in.readFully(payload);
        return payload;
    }

    private static void int32(ByteArrayOutputStream out, int value) {
        for (int i = 0; i < 4; i++) {
            out.write(value >>> 8 * i);
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
