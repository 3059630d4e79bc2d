import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A MySQL client with one connection; it sends one command and reads its whole reply before the next. */
final class MysqlClient2 implements AutoCloseable {
    /** What PREPARE returned. */
    record Statement(int id, int columns, int parameters) {}

    private final Socket socket;
    private final DataInputStream in;
    private final OutputStream out;

    MysqlClient2(int port, String user, String password) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(5000);
        in = new DataInputStream(new java.io.BufferedInputStream(socket.getInputStream()));
        out = new BufferedOutputStream(socket.getOutputStream(), 1 << 16);
        byte[] greeting = Packets2.read(in).payload();
        int at = 1;
        while (greeting[at] != 0) {
            at++;
        }
        at += 5;
        byte[] nonce = new byte[20];
        System.arraycopy(greeting, at, nonce, 0, 8);
        System.arraycopy(greeting, at + 8 + 1 + 2 + 1 + 2 + 2 + 1 + 10, nonce, 8, 12);
        byte[] proof = scramble(password, nonce);
        Packets2.write(
                out,
                1,
                Packets2.payload(
                        Packets2.int32(0x8a201), Packets2.int32(1 << 24), 45, new byte[23], user, 0, proof.length,
                        proof, "mysql_native_password", 0));
        out.flush();
        Packets2.Packet reply = Packets2.read(in);
        if (reply.type() != 0) {
            throw new IOException("login: " + reply.errorText());
        }
    }

    private static byte[] scramble(String password, byte[] nonce) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-1").digest(password.getBytes(StandardCharsets.UTF_8));
            MessageDigest digest = MessageDigest.getInstance("SHA-1");
            digest.update(nonce);
            byte[] mask = digest.digest(MessageDigest.getInstance("SHA-1").digest(hash));
            for (int i = 0; i < hash.length; i++) {
                hash[i] ^= mask[i];
            }
            return hash;
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }

    void setTimeoutMs(int timeoutMs) throws IOException {
        socket.setSoTimeout(timeoutMs);
    }

    void send(int command, byte[] arguments) throws IOException {
        Packets2.write(out, 0, Packets2.payload(command, arguments));
        out.flush();
    }

    Packets2.Packet readPacket() throws IOException {
        return Packets2.read(in);
    }

    Statement prepare(String text) throws IOException {
        send(Packets2.PREPARE, text.getBytes(StandardCharsets.UTF_8));
        Packets2.Packet head = Packets2.read(in);
        if (head.isError()) {
            throw new IOException(head.errorText());
        }
        Statement statement = new Statement(head.int32(1), head.int16(5), head.int16(7));
        int lists = (statement.columns() > 0 ? 1 : 0) + (statement.parameters() > 0 ? 1 : 0);
        while (lists > 0) {
            if (Packets2.read(in).isEof()) {
                lists--;
            }
        }
        return statement;
    }

    /** Executes a prepared statement without parameters; returns the reply in words. */
    String execute(int id) throws IOException {
        send(Packets2.EXECUTE, Packets2.payload(Packets2.int32(id), 0, Packets2.int32(1)));
        return readReply(true);
    }

    /** Executes a prepared statement with text parameters; returns the reply in words. */
    String execute(int id, String[] values) throws IOException {
        Object[] parts = new Object[5 + 2 * values.length];
        parts[0] = Packets2.int32(id);
        parts[1] = 0;
        parts[2] = Packets2.int32(1);
        parts[3] = new byte[(values.length + 7) / 8];
        parts[4] = 1;
        for (int i = 0; i < values.length; i++) {
            parts[5 + i] = new byte[] {(byte) 253, 0};
            parts[5 + values.length + i] = Packets2.lengthEncoded(values[i].getBytes(StandardCharsets.UTF_8));
        }
        send(Packets2.EXECUTE, Packets2.payload(parts));
        return readReply(true);
    }

    String query(String text) throws IOException {
        send(Packets2.QUERY, text.getBytes(StandardCharsets.UTF_8));
        return readReply(false);
    }

    /** Reads a whole reply: "ok", "error N text", or "rows N: first value of the first row". */
    String readReply(boolean binary) throws IOException {
        Packets2.Packet first = Packets2.read(in);
        if (first.isError()) {
            return first.errorText();
        }
        if (first.type() == 0) {
            return "ok";
        }
        int columns = first.type() == 0xfc ? first.int16(1) : first.type();
        while (!Packets2.read(in).isEof()) {
            // A column definition.
        }
        List<byte[]> rows = new ArrayList<>();
        while (true) {
            Packets2.Packet packet = Packets2.read(in);
            if (packet.isError()) {
                return packet.errorText() + " after " + rows.size() + " rows";
            }
            if (packet.isEof()) {
                break;
            }
            rows.add(packet.payload());
        }
        if (rows.isEmpty()) {
            return "rows 0";
        }
        byte[] row = rows.get(0);
        int at = binary ? 1 + (columns + 9) / 8 : 0;
        int length = row[at] & 0xff;
        int start = at + 1;
        if (length == 0xfc) {
            length = (row[at + 1] & 0xff) | (row[at + 2] & 0xff) << 8;
            start = at + 3;
        }
        return "rows " + rows.size() + ": "
                + new String(Arrays.copyOfRange(row, start, start + length), StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
