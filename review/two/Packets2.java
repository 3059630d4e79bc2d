import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Reads and writes packets of the MySQL protocol. */
final class Packets2 {
    static final int QUERY = 0x03;
    static final int PREPARE = 0x16;
    static final int EXECUTE = 0x17;
    static final int LONG_DATA = 0x18;
    static final int CLOSE_STATEMENT = 0x19;
    static final int AUTOCOMMIT = 0x02;

    private Packets2() {}

    /** The payload of one packet and its sequence number. */
    record Packet(int sequence, byte[] payload) {
        int type() {
            return payload.length == 0 ? -1 : payload[0] & 0xff;
        }

        boolean isError() {
            return type() == 0xff;
        }

        boolean isEof() {
            return type() == 0xfe && payload.length < 9;
        }

        String errorText() {
            int code = (payload[1] & 0xff) | (payload[2] & 0xff) << 8;
            return "error " + code + ' ' + text(9);
        }

        int errorCode() {
            return (payload[1] & 0xff) | (payload[2] & 0xff) << 8;
        }

        String text(int from) {
            int start = Math.min(from, payload.length);
            return new String(payload, start, payload.length - start, StandardCharsets.UTF_8);
        }

        int int32(int at) {
            return (payload[at] & 0xff)
                    | (payload[at + 1] & 0xff) << 8
                    | (payload[at + 2] & 0xff) << 16
                    | (payload[at + 3] & 0xff) << 24;
        }

        int int16(int at) {
            return (payload[at] & 0xff) | (payload[at + 1] & 0xff) << 8;
        }
    }

    static Packet read(DataInputStream in) throws IOException {
        int low = in.read();
        if (low < 0) {
            throw new EOFException("connection closed");
        }
        int length = low | in.readUnsignedByte() << 8 | in.readUnsignedByte() << 16;
        int sequence = in.readUnsignedByte();
        byte[] payload = new byte[length];
        in.readFully(payload);
        return new Packet(sequence, payload);
    }

    /** Builds a payload from bytes (integers), texts and byte arrays. */
    static byte[] payload(Object... parts) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (Object part : parts) {
            if (part instanceof Integer number) {
                out.write(number);
            } else if (part instanceof byte[] bytes) {
                out.writeBytes(bytes);
            } else {
                out.writeBytes(part.toString().getBytes(StandardCharsets.UTF_8));
            }
        }
        return out.toByteArray();
    }

    static byte[] int16(int value) {
        return new byte[] {(byte) value, (byte) (value >> 8)};
    }

    static byte[] int32(int value) {
        return new byte[] {(byte) value, (byte) (value >> 8), (byte) (value >> 16), (byte) (value >> 24)};
    }

    static void write(OutputStream out, int sequence, byte[] payload) throws IOException {
        byte[] frame = new byte[payload.length + 4];
        frame[0] = (byte) payload.length;
        frame[1] = (byte) (payload.length >> 8);
        frame[2] = (byte) (payload.length >> 16);
        frame[3] = (byte) sequence;
        System.arraycopy(payload, 0, frame, 4, payload.length);
        out.write(frame);
    }

    static byte[] ok() {
        return payload(0, 0, 0, int16(AUTOCOMMIT), 0, 0);
    }

    static byte[] eof() {
        return payload(0xfe, 0, 0, int16(AUTOCOMMIT));
    }

    static byte[] column(String name) {
        return payload(
                3, "def", 0, 0, 0, name.length(), name, 0, 12, 45, 0, int32(1024), 253, 0, 0, 0, 0, 0);
    }

    static byte[] lengthEncoded(byte[] text) {
        return text.length < 251
                ? payload(text.length, text)
                : payload(0xfc, int16(text.length), text);
    }
}
