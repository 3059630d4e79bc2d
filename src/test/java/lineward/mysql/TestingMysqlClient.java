package lineward.mysql;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A minimal MySQL client for tests. */
final class TestingMysqlClient implements AutoCloseable {
    /** The result of a command: rows, or the number, state and text of an error; code 0 is success. */
    record Result(int code, String sqlState, String message, List<byte[]> rows) {}

    /** The reply to COM_STMT_PREPARE. */
    record Statement(long id, int parameterCount, Result result) {}

    final MysqlPacketSocket packets;
    Result loginResult;

    TestingMysqlClient(int port, String authPlugin, String password, String schema) throws IOException {
        this(port, authPlugin, "office", password, schema);
    }

    TestingMysqlClient(int port, String authPlugin, String userName, String password, String schema)
            throws IOException {
        packets = new MysqlPacketSocket(new Socket(InetAddress.getLoopbackAddress(), port));
        byte[] greeting = packets.read();
        int nonceOffset = 1 + new String(greeting, StandardCharsets.ISO_8859_1).indexOf('\0', 1) + 4;
        byte[] nonce = Arrays.copyOf(Arrays.copyOfRange(greeting, nonceOffset, nonceOffset + 8), 20);
        System.arraycopy(greeting, nonceOffset + 8 + 19, nonce, 8, 12);
        long capabilities = 0x88200L | (schema == null ? 0 : 8);
        byte[] scramble = scramble(authPlugin, password, nonce);
        packets.write(
                capabilities,
                1L << 24,
                45,
                new byte[23],
                userName,
                0,
                scramble.length,
                scramble,
                schema == null ? "" : schema + '\0',
                authPlugin,
                0);
        byte[] reply = packets.read();
        if ((reply[0] & 0xff) == 0xfe) {
            packets.write(scramble("mysql_native_password", password, nonce));
            reply = packets.read();
        }
        loginResult = readResult(reply[0] == 1 ? packets.read() : reply);
    }

    TestingMysqlClient(int port) throws IOException {
        this(port, "caching_sha2_password", "secret", null);
    }

    private static byte[] scramble(String plugin, String password, byte[] nonce) {
        try {
            boolean sha2 = plugin.startsWith("caching");
            MessageDigest digest = MessageDigest.getInstance(sha2 ? "SHA-256" : "SHA-1");
            byte[] once = digest.digest(password.getBytes(StandardCharsets.UTF_8));
            byte[] twice = digest.digest(once);
            byte[] mask = digest.digest(
                    sha2 ? MysqlPacketSocket.encode(twice, nonce) : MysqlPacketSocket.encode(nonce, twice));
            for (int i = 0; i < mask.length; i++) {
                mask[i] ^= once[i];
            }
            return mask;
        } catch (GeneralSecurityException e) {
            throw new AssertionError(e);
        }
    }

    void send(Object... command) throws IOException {
        packets.sequence = 0;
        packets.write(command);
    }

    /** The reply to COM_STMT_FETCH: rows and the status after them, or an error. */
    record CursorReply(int code, List<byte[]> rows, int status) {}

    /** Executes with a read-only cursor; returns the status after the columns. */
    CursorReply openCursor(Statement statement) throws IOException {
        send(0x17, statement.id(), 1, 1L);
        byte[] first = packets.read();
        if ((first[0] & 0xff) == 0xff) {
            return new CursorReply(readResult(first).code(), List.of(), 0);
        }
        for (int i = 0; i < first[0]; i++) {
            packets.read();
        }
        return new CursorReply(0, List.of(), packets.read()[3] & 0xff);
    }

    CursorReply fetch(Statement statement, long rows) throws IOException {
        send(0x1c, statement.id(), rows);
        List<byte[]> page = new ArrayList<>();
        while (true) {
            byte[] packet = packets.read();
            if ((packet[0] & 0xff) == 0xff) {
                return new CursorReply(readResult(packet).code(), page, 0);
            }
            if ((packet[0] & 0xff) == 0xfe && packet.length < 9) {
                return new CursorReply(0, page, packet[3] & 0xff);
            }
            page.add(packet);
        }
    }

    Result command(Object... command) throws IOException {
        send(command);
        return readResult(packets.read());
    }

    Result query(String text) throws IOException {
        return command(3, text);
    }

    Statement prepare(String text) throws IOException {
        send(0x16, text);
        byte[] head = packets.read();
        if (head[0] != 0) {
            return new Statement(0, 0, readResult(head));
        }
        int parameterCount = (head[7] & 0xff) | (head[8] & 0xff) << 8;
        for (int i = 0; i < (parameterCount > 0 ? parameterCount + 1 : 0) + head[5] + 1; i++) {
            packets.read();
        }
        int id = (head[1] & 0xff) | (head[2] & 0xff) << 8;
        return new Statement(id, parameterCount, new Result(0, "", "", List.of()));
    }

    /**
     * Executes with one string for each parameter.
     *
     * @param sendTypes whether to send the types of the parameters
     */
    Result execute(Statement statement, boolean sendTypes, String... values) throws IOException {
        List<Object> parts = new ArrayList<>(List.of(0x17, statement.id(), 0, 1L));
        if (values.length > 0) {
            parts.add(new byte[(values.length + Byte.SIZE - 1) / Byte.SIZE]);
            parts.add(sendTypes ? 1 : 0);
            for (int i = 0; sendTypes && i < values.length; i++) {
                parts.addAll(List.of(253, 0));
            }
            for (String value : values) {
                parts.add(MysqlPacketSocket.lengthEncoded(value));
            }
        }
        return command(parts.toArray());
    }

    /**
     * Reads a result and returns the number of its rows; -1 if it is an error or ends with one.
     */
    int readRowCount() throws IOException {
        byte[] first = packets.read();
        if ((first[0] & 0xff) == 0xff) {
            return -1;
        }
        for (int i = 0; i < first[0] + 1; i++) {
            packets.read();
        }
        for (int rows = 0; ; rows++) {
            byte[] row = packets.read();
            if ((row[0] & 0xff) == 0xff) {
                return -1;
            }
            if ((row[0] & 0xff) == 0xfe && row.length < 9) {
                return rows;
            }
        }
    }

    private Result readResult(byte[] first) throws IOException {
        if ((first[0] & 0xff) == 0xff) {
            String text = new String(first, 4, first.length - 4, StandardCharsets.UTF_8);
            int code = (first[1] & 0xff) | ((first[2] & 0xff) << 8);
            return new Result(code, text.substring(0, 5), text.substring(5), List.of());
        }
        List<byte[]> rows = new ArrayList<>();
        if (first[0] == 0) {
            return new Result(0, "", "", rows);
        }
        for (int i = 0; i < first[0] + 1; i++) {
            packets.read();
        }
        while (true) {
            byte[] row = packets.read();
            if ((row[0] & 0xff) == 0xff) {
                return readResult(row);
            }
            if ((row[0] & 0xff) == 0xfe && row.length < 9) {
                return new Result(0, "", "", rows);
            }
            rows.add(row);
        }
    }

    @Override
    public void close() throws IOException {
        packets.socket.close();
    }
}
