import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A connection of a client: framed transport, strict binary protocol. */
final class Client implements AutoCloseable {
    /** An answer: its sequence number, served, refused or failed, and the body if it is served. */
    record Answer(int seq, String kind, String body) {}

    final Socket socket;
    private final DataInputStream in;
    private int lastSeq;

    Client(int port) throws IOException {
        socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
        socket.setTcpNoDelay(true);
        in = new DataInputStream(socket.getInputStream());
    }

    boolean ping() throws IOException {
        socket.setSoTimeout(2000);
        lastSeq++;
        write(frame("ping", lastSeq, out -> {
            out.writeByte(2);
            out.writeShort(1);
            out.writeByte(0);
        }));
        int length = in.readInt();
        byte[] answer = in.readNBytes(length);
        socket.setSoTimeout(0);
        // The last field of the Answer is 3: bool good.
        String text = new String(answer, StandardCharsets.ISO_8859_1);
        return text.contains("\u0002\u0000\u0003\u0001");
    }

    int nextSeq() {
        return ++lastSeq;
    }

    static byte[] invoke(int seq, Map<String, String> fields, String statement) throws IOException {
        return frame("invoke", seq, out -> {
            out.writeByte(13);
            out.writeShort(1);
            out.writeByte(11);
            out.writeByte(11);
            out.writeInt(fields.size());
            for (Map.Entry<String, String> field : fields.entrySet()) {
                text(out, field.getKey());
                text(out, field.getValue());
            }
            out.writeByte(11);
            out.writeShort(2);
            text(out, statement);
        });
    }

    void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
    }

    /** Reads the next answer. */
    Answer read() throws IOException {
        byte[] frame = new byte[in.readInt()];
        in.readFully(frame);
        DataInputStream answer = new DataInputStream(new java.io.ByteArrayInputStream(frame));
        int version = answer.readInt();
        readText(answer);
        int seq = answer.readInt();
        if ((version & 0xff) == 3) {
            return new Answer(seq, "failed (application exception)", "");
        }
        int type = answer.readByte();
        int field = answer.readShort();
        if (type != 12) {
            throw new IOException("answer can't be read");
        }
        if (field == 0) {
            String body = "";
            int fieldType;
            while ((fieldType = answer.readByte()) != 0) {
                int id = answer.readShort();
                if (id == 1 && fieldType == 11) {
                    body = readText(answer);
                } else if (fieldType == 13) {
                    answer.readShort();
                    int entries = answer.readInt();
                    for (int i = 0; i < 2 * entries; i++) {
                        readText(answer);
                    }
                } else if (fieldType == 2) {
                    answer.readByte();
                } else {
                    throw new IOException("answer can't be read");
                }
            }
            return new Answer(seq, "served", body);
        }
        return new Answer(seq, field == 1 ? "refused" : "failed", "");
    }

    private interface Body {
        void write(DataOutputStream out) throws IOException;
    }

    private static byte[] frame(String method, int seq, Body body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(0);
        out.writeInt(0x80010001);
        text(out, method);
        out.writeInt(seq);
        body.write(out);
        out.writeByte(0);
        byte[] frame = bytes.toByteArray();
        int length = frame.length - 4;
        for (int i = 0; i < 4; i++) {
            frame[i] = (byte) (length >>> 8 * (3 - i));
        }
        return frame;
    }

    private static void text(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static String readText(DataInputStream in) throws IOException {
        byte[] bytes = new byte[in.readInt()];
        in.readFully(bytes);
        return new String(bytes, StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
