package lineward.mysql;

import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Packets on a plain socket, written from the protocol's pages and not from the program's code. */
final class Wire {
    final Socket socket;
    private final DataInputStream in;
    private final OutputStream out;
    int sequence;

    Wire(Socket socket) throws IOException {
        this.socket = socket;
        socket.setSoTimeout(20_000);
        socket.setTcpNoDelay(true);
        in = new DataInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    byte[] read() throws IOException {
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
        out.write(bytes(payload.length & 0xff, payload.length >> 8 & 0xff, payload.length >> 16,
                sequence++ & 0xff, payload));
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
        return content.length < 251 ? bytes(content.length, content)
                : bytes(0xfc, content.length & 0xff, content.length >> 8, content);
    }
}
