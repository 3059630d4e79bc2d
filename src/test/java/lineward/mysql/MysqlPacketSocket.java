package lineward.mysql;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Reads and writes MySQL packets on a blocking socket. It shares no code with the program, so that an error
 * in the program's codec does not go unnoticed.
 */
final class MysqlPacketSocket {
    private static final int MAX_PAYLOAD_BYTES = 0xffffff;
    final Socket socket;
    private final DataInputStream in;
    private final OutputStream output;
    int sequence;
    /** Holds all output until {@link #sendHeldOutput}; null if output is sent at once. */
    private ByteArrayOutputStream heldOutput;
    /** Buffers small packets until {@link #flush}; null outside of a batch. */
    private ByteArrayOutputStream batch;

    MysqlPacketSocket(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(20_000);
        socket.setTcpNoDelay(true);
        in = new DataInputStream(socket.getInputStream());
        output = socket.getOutputStream();
    }

    void beginBatch() {
        batch = new ByteArrayOutputStream();
    }

    void flush() throws IOException {
        emit(batch.toByteArray());
        batch = null;
    }

    /** Holds all further output back. */
    void holdOutput() {
        heldOutput = new ByteArrayOutputStream();
    }

    /** Sends the held output, as often as stated and followed by these bytes, in one write. */
    void sendHeldOutput(int copies, byte[] trailer) throws IOException {
        byte[] held = heldOutput.toByteArray();
        heldOutput = null;
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (int i = 0; i < copies; i++) {
            all.writeBytes(held);
        }
        all.writeBytes(trailer);
        output.write(all.toByteArray());
    }

    private void emit(byte[] bytes) throws IOException {
        if (heldOutput == null) {
            output.write(bytes);
        } else {
            heldOutput.writeBytes(bytes);
        }
    }

    byte[] read() throws IOException {
        byte[] packet = readPacket();
        byte[] payload = packet;
        while (packet.length == MAX_PAYLOAD_BYTES) {
            packet = readPacket();
            payload = encode(payload, packet);
        }
        return payload;
    }

    private byte[] readPacket() throws IOException {
        int length = in.read();
        if (length < 0) {
            throw new EOFException("connection closed");
        }
        length |= in.readUnsignedByte() << 8 | in.readUnsignedByte() << 16;
        sequence = in.readUnsignedByte() + 1;
        byte[] payload = new byte[length];
        in.readFully(payload);
        return payload;
    }

    void write(Object... values) throws IOException {
        byte[] payload = encode(values);
        int offset = 0;
        int length;
        do {
            length = Math.min(MAX_PAYLOAD_BYTES, payload.length - offset);
            byte[] packet = encode(
                    length & 0xff,
                    length >> 8 & 0xff,
                    length >> 16,
                    sequence++ & 0xff,
                    Arrays.copyOfRange(payload, offset, offset + length));
            offset += length;
            if (batch == null) {
                emit(packet);
            } else {
                batch.writeBytes(packet);
                if (batch.size() > 1 << 16) {
                    emit(batch.toByteArray());
                    batch.reset();
                }
            }
        } while (length == MAX_PAYLOAD_BYTES);
    }

    /** Encodes an Integer as one byte, a Long as four bytes, and a string without a length or terminator. */
    static byte[] encode(Object... values) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (Object value : values) {
            if (value instanceof Integer number) {
                all.write(number);
            } else if (value instanceof Long number) {
                for (int shift = 0; shift < 32; shift += 8) {
                    all.write((int) (number >> shift));
                }
            } else if (value instanceof byte[] bytes) {
                all.writeBytes(bytes);
            } else {
                all.writeBytes(value.toString().getBytes(StandardCharsets.UTF_8));
            }
        }
        return all.toByteArray();
    }

    static byte[] ok() {
        return encode(0, 0, 0, 2, 0, 0, 0);
    }

    static byte[] eof() {
        return encode(0xfe, 0, 0, 2, 0);
    }

    static byte[] error(int code, String sqlState, String text) {
        return encode(0xff, code & 0xff, code >> 8, "#", sqlState, text);
    }

    static byte[] lengthEncoded(String text) {
        byte[] content = text.getBytes(StandardCharsets.UTF_8);
        int length = content.length;
        if (content.length < 251) {
            return encode(content.length, content);
        }
        return content.length < 1 << 16
                ? encode(0xfc, content.length & 0xff, content.length >> 8, content)
                : encode(0xfd, length & 0xff, length >> 8 & 0xff, length >> 16, content);
    }
}
