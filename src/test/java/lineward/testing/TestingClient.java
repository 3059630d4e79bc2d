package lineward.testing;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
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

/** A client of the Thrift protocol. Not thread-safe. */
public final class TestingClient implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong(0xabcd_0000_0000L);
    private final Socket socket;
    private final DataInputStream in;
    private final DataOutputStream out;
    private int seqid;

    public TestingClient(int port) throws IOException {
        this(port, 0);
    }

    /** @param receiveBufferBytes size in bytes of the socket's receive buffer; 0 for the system's default */
    public TestingClient(int port, int receiveBufferBytes) throws IOException {
        socket = new Socket();
        if (receiveBufferBytes > 0) {
            socket.setReceiveBufferSize(receiveBufferBytes);
        }
        socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        socket.setSoTimeout(20_000);
        socket.setTcpNoDelay(true);
        InputStream input = socket.getInputStream();
        // A client with a small receive buffer is to read no more than it needs.
        in = new DataInputStream(receiveBufferBytes > 0 ? input : new BufferedInputStream(input));
        out = new DataOutputStream(socket.getOutputStream());
    }

    private static String newId() {
        return String.format("%016x", IDS.incrementAndGet());
    }

    /** Returns valid fields of a new request. */
    public static Map<String, String> fields(int timeoutMs) {
        String timeLeftMs = Integer.toString(timeoutMs);
        return new LinkedHashMap<>(Map.of(
                RequestFields.REQUEST_CLASS,
                "look",
                RequestFields.REQUEST_ID,
                newId(),
                RequestFields.TIME_LEFT_MS,
                timeLeftMs,
                RequestFields.TENANT,
                "west"));
    }

    /** Sets the sequence number of the next request. */
    public void setNextSeqid(int nextSeqid) {
        seqid = nextSeqid - 1;
    }

    public int send(Map<String, String> fields, String statement) throws IOException {
        return send(fields, statement, new byte[0]);
    }

    /** Sends a request whose frame has these bytes after the message. */
    public int send(Map<String, String> fields, String statement, byte[] trailer) throws IOException {
        sendFrame(message(fields, statement, trailer));
        return seqid;
    }

    /** Returns the frame of the next request without sending it. */
    public byte[] encode(Map<String, String> fields, String statement) throws IOException {
        byte[] message = message(fields, statement, new byte[0]);
        return framed(message);
    }

    private static byte[] framed(byte[] message) {
        return ByteBuffer.allocate(Integer.BYTES + message.length)
                .putInt(message.length)
                .put(message)
                .array();
    }

    private byte[] message(Map<String, String> fields, String statement, byte[] trailer) throws IOException {
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
        message.write(trailer);
        return bytes.toByteArray();
    }

    public ThriftResponse call(Map<String, String> fields, String statement) throws IOException {
        send(fields, statement);
        return read();
    }

    public void abort(int sequenceNumber) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream message = begin(bytes, 4, "abort", ++seqid);
        message.write(new byte[] {8, 0, 1});
        message.writeInt(sequenceNumber);
        message.write(0);
        sendFrame(bytes.toByteArray());
    }

    public ThriftResponse callMethod(String method) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        begin(bytes, 1, method, ++seqid).write(new byte[] {2, 0, 1, 1, 0});
        sendFrame(bytes.toByteArray());
        return read();
    }

    public void sendRaw(byte[] bytes) throws IOException {
        out.write(bytes);
    }

    /** Returns whether the server closes the connection without a response, within the socket's timeout. */
    public boolean isClosed() throws IOException {
        try {
            return in.read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (SocketException e) {
            return true; // The server has reset the connection.
        }
    }

    public void sendFrame(byte[] bytes) throws IOException {
        out.write(framed(bytes));
    }

    private static DataOutputStream begin(ByteArrayOutputStream bytes, int type, String method, int seqid)
            throws IOException {
        DataOutputStream message = new DataOutputStream(bytes);
        message.writeInt(0x80010000 | type);
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

    public ThriftResponse read() throws IOException {
        in.readInt();
        int messageType = in.readInt() & 0xff;
        text();
        int number = in.readInt();
        String body = "";
        Map<String, String> fields = new LinkedHashMap<>();
        boolean ok = false;
        int fieldId = -1;
        int type = in.readByte();
        int field = in.readShort();
        boolean hasStruct = type == 12;
        if (hasStruct) {
            fieldId = field;
            type = in.readByte();
            field = type == 0 ? 0 : in.readShort();
        }
        while (type != 0) {
            switch (type) {
                case 2 -> ok = in.readByte() == 1;
                case 8 -> in.readInt();
                case 11 -> body = text();
                default -> {
                    in.readShort();
                    for (int remaining = in.readInt(); remaining > 0; remaining--) {
                        fields.put(text(), text());
                    }
                }
            }
            type = in.readByte();
            field = type == 0 ? 0 : in.readShort();
        }
        if (hasStruct) {
            in.readByte();
        }
        return new ThriftResponse(number, messageType, fieldId, body, fields, ok);
    }

    /** Returns the socket, for tests that close or configure it. */
    public Socket socket() {
        return socket;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
