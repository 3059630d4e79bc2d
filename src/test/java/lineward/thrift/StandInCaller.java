package lineward.thrift;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A small client of the platform's service. */
final class StandInCaller implements AutoCloseable {
    /** An answer: the message's kind, which field of the result was set, what stood in it. */
    record Answer(int seqid, int kind, int field, String body, Map<String, String> fields, boolean good) {}

    private static final AtomicLong IDS = new AtomicLong(0xabcd_0000_0000L);
    final Socket socket;
    private final DataInputStream in;
    private final DataOutputStream out;
    private int seqid;

    StandInCaller(int port) throws IOException {
        this(port, 0);
    }

    /** @param receiveBuffer bytes that it takes unread, about; 0: as usual */
    StandInCaller(int port, int receiveBuffer) throws IOException {
        socket = new Socket();
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        socket.setSoTimeout(20_000);
        socket.setTcpNoDelay(true);
        in = new DataInputStream(socket.getInputStream());
        out = new DataOutputStream(socket.getOutputStream());
    }

    static String newId() {
        return String.format("%016x", IDS.incrementAndGet());
    }

    /** The fields of a request that can be used. */
    static Map<String, String> fields(int ttl) {
        String timeLeftMs = Integer.toString(ttl);
        return new LinkedHashMap<>(Map.of("op", "look", "call", newId(), "ttl", timeLeftMs, "org", "west"));
    }

    /** The next request gets this number. */
    void renumber(int next) {
        seqid = next - 1;
    }

    int send(Map<String, String> fields, String statement) throws IOException {
        return send(fields, statement, new byte[0]);
    }

    /** @param behind bytes behind the message, in its frame */
    int send(Map<String, String> fields, String statement, byte[] behind) throws IOException {
        frame(message(fields, statement, behind));
        return seqid;
    }

    /** Returns the next request, whole with its length. */
    byte[] bytes(Map<String, String> fields, String statement) throws IOException {
        byte[] message = message(fields, statement, new byte[0]);
        return framed(message);
    }

    private static byte[] framed(byte[] message) {
        return ByteBuffer.allocate(Integer.BYTES + message.length)
                .putInt(message.length)
                .put(message)
                .array();
    }

    private byte[] message(Map<String, String> fields, String statement, byte[] behind) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream message = begin(bytes, 1, "invoke", ++seqid);
        message.write(new byte[] {13, 0, 1, 11, 11});
        message.writeInt(fields.size());
        for (Map.Entry<String, String> field : fields.entrySet()) {
            text(message, field.getKey());
            text(message, field.getValue());
        }
        message.write(new byte[] {11, 0, 2});
        text(message, statement);
        message.write(0);
        message.write(behind);
        return bytes.toByteArray();
    }

    Answer call(Map<String, String> fields, String statement) throws IOException {
        send(fields, statement);
        return read();
    }

    void abort(int which) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream message = begin(bytes, 4, "abort", ++seqid);
        message.write(new byte[] {8, 0, 1});
        message.writeInt(which);
        message.write(0);
        frame(bytes.toByteArray());
    }

    Answer simple(String method) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        begin(bytes, 1, method, ++seqid).write(new byte[] {2, 0, 1, 1, 0});
        frame(bytes.toByteArray());
        return read();
    }

    void raw(byte[] bytes) throws IOException {
        out.write(bytes);
    }

    /** Returns whether the connection has ended, or does so before an answer and the time-out. */
    boolean isClosed() throws IOException {
        try {
            return in.read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (SocketException e) {
            return true; // A reset tells the end as well as a close does.
        }
    }

    void frame(byte[] bytes) throws IOException {
        out.write(framed(bytes));
    }

    private static DataOutputStream begin(ByteArrayOutputStream bytes, int kind, String method, int seqid)
            throws IOException {
        DataOutputStream message = new DataOutputStream(bytes);
        message.writeInt(0x80010000 | kind);
        text(message, method);
        message.writeInt(seqid);
        return message;
    }

    private static void text(DataOutputStream to, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        to.writeInt(bytes.length);
        to.write(bytes);
    }

    private String text() throws IOException {
        byte[] bytes = new byte[in.readInt()];
        in.readFully(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    Answer read() throws IOException {
        in.readInt();
        int kind = in.readInt() & 0xff;
        text();
        int number = in.readInt();
        String body = "";
        Map<String, String> fields = new LinkedHashMap<>();
        boolean good = false;
        int which = -1;
        int type = in.readByte();
        int field = in.readShort();
        boolean nested = type == 12;
        if (nested) {
            which = field;
            type = in.readByte();
            field = type == 0 ? 0 : in.readShort();
        }
        while (type != 0) {
            switch (type) {
                case 2 -> good = in.readByte() == 1;
                case 8 -> in.readInt();
                case 11 -> body = text();
                default -> {
                    in.readShort();
                    for (int left = in.readInt(); left > 0; left--) {
                        fields.put(text(), text());
                    }
                }
            }
            type = in.readByte();
            field = type == 0 ? 0 : in.readShort();
        }
        if (nested) {
            in.readByte();
        }
        return new Answer(number, kind, which, body, fields, good);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
