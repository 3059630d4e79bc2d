import java.io.BufferedInputStream;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;

/** A client of the platform with one connection. */
final class ThriftClient2 implements AutoCloseable {
    /** An answer: the sequence number of its request, and served, refused or failed. */
    record Answer(int sequence, String kind) {}

    private final Socket socket;
    private final DataInputStream in;
    private final OutputStream out;
    private int lastSequence;

    ThriftClient2(int port) throws IOException {
        socket = new Socket("127.0.0.1", port);
        socket.setTcpNoDelay(true);
        in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
        out = socket.getOutputStream();
    }

    void setTimeoutMs(int timeoutMs) throws IOException {
        socket.setSoTimeout(timeoutMs);
    }

    int lastSequence() {
        return lastSequence;
    }

    /** Returns the frame of a request, which gets the next sequence number. */
    byte[] request(String requestClass, int ttlMs, double workMs, String statement) throws IOException {
        lastSequence++;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream message = new DataOutputStream(bytes);
        message.writeInt(0x80010001);
        writeText(message, "invoke");
        message.writeInt(lastSequence);
        String[] fields = {
            "op", requestClass,
            "call", String.format("%016x", ThreadLocalRandom.current().nextLong()),
            "ttl", Integer.toString(ttlMs),
            "org", "western-branches",
            "work", Double.toString(workMs),
            "mem", "10"
        };
        message.writeByte(13);
        message.writeShort(1);
        message.writeByte(11);
        message.writeByte(11);
        message.writeInt(fields.length / 2);
        for (String field : fields) {
            writeText(message, field);
        }
        message.writeByte(11);
        message.writeShort(2);
        writeText(message, statement);
        message.writeByte(0);
        ByteArrayOutputStream frame = new ByteArrayOutputStream();
        new DataOutputStream(frame).writeInt(bytes.size());
        bytes.writeTo(frame);
        return frame.toByteArray();
    }

    private static void writeText(DataOutputStream message, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        message.writeInt(bytes.length);
        message.write(bytes);
    }

    void write(byte[] bytes, int from, int length) throws IOException {
        out.write(bytes, from, length);
        out.flush();
    }

    void send(byte[] frame) throws IOException {
        write(frame, 0, frame.length);
    }

    Answer read() throws IOException {
        byte[] frame = new byte[in.readInt()];
        in.readFully(frame);
        DataInputStream message = new DataInputStream(new ByteArrayInputStream(frame));
        int type = message.readInt() & 0xff;
        message.skipBytes(message.readInt());
        int sequence = message.readInt();
        if (type == 3) {
            return new Answer(sequence, "failed");
        }
        message.readByte();
        return new Answer(sequence, switch (message.readShort()) {
            case 0 -> "served";
            case 1 -> "refused";
            default -> "failed";
        });
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
