package lineward.mysql;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Packets on a plain socket, written from the protocol's pages and not from the program's code. */
final class Wire {
    private static final int LONGEST = 0xffffff;
    final Socket socket;
    private final DataInputStream in;
    private final OutputStream out;
    int sequence;
    /** Packets wait here until {@link #flush}, where many small ones follow each other. */
    private ByteArrayOutputStream gathered;

    Wire(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(20_000);
        socket.setTcpNoDelay(true);
        in = new DataInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    void gather() {
        gathered = new ByteArrayOutputStream();
    }

    void flush() throws IOException {
        out.write(gathered.toByteArray());
        gathered = null;
    }

    byte[] read() throws IOException {
        byte[] part = readPacket();
        byte[] whole = part;
        while (part.length == LONGEST) {
            part = readPacket();
            whole = bytes(whole, part);
        }
        return whole;
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

    void write(Object... parts) throws IOException {
        byte[] payload = bytes(parts);
        int at = 0;
        int length;
        do {
            length = Math.min(LONGEST, payload.length - at);
            byte[] packet = bytes(
                    length & 0xff,
                    length >> 8 & 0xff,
                    length >> 16,
                    sequence++ & 0xff,
                    Arrays.copyOfRange(payload, at, at + length));
            at += length;
            if (gathered == null) {
                out.write(packet);
            } else {
                gathered.writeBytes(packet);
                if (gathered.size() > 1 << 16) {
                    out.write(gathered.toByteArray());
                    gathered.reset();
                }
            }
        } while (length == LONGEST);
    }

    /** Integers are one byte each, longs four, texts end where they end. */
    static byte[] bytes(Object... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (Object part : parts) {
            if (part instanceof Integer i) {
                all.write(i);
            } else if (part instanceof Long l) {
                for (int shift = 0; shift < 32; shift += 8) {
                    all.write((int) (l >> shift));
                }
            } else if (part instanceof byte[] b) {
                all.writeBytes(b);
            } else {
                all.writeBytes(part.toString().getBytes(StandardCharsets.UTF_8));
            }
        }
        return all.toByteArray();
    }

    static byte[] ok() {
        return bytes(0, 0, 0, 2, 0, 0, 0);
    }

    static byte[] eof() {
        return bytes(0xfe, 0, 0, 2, 0);
    }

    static byte[] error(int code, String state, String text) {
        return bytes(0xff, code & 0xff, code >> 8, "#", state, text);
    }

    static byte[] text(String text) {
        byte[] content = text.getBytes(StandardCharsets.UTF_8);
        int length = content.length;
        if (content.length < 251) {
            return bytes(content.length, content);
        }
        return content.length < 1 << 16
                ? bytes(0xfc, content.length & 0xff, content.length >> 8, content)
                : bytes(0xfd, length & 0xff, length >> 8 & 0xff, length >> 16, content);
    }
}
