import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * A toy MySQL engine on the loopback interface. It accepts every login and answers each statement, prepared
 * or not, with one row that holds the first 250 bytes of its text.
 */
public final class ToyServer {
    private ToyServer() {}

    /** @param args the port to listen on */
    public static void main(String[] args) throws IOException {
        int port = Integer.parseInt(args[0]);
        try (ServerSocket server = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"))) {
            System.out.println("toy engine listening: address=127.0.0.1:" + port);
            while (true) {
                Socket socket = server.accept();
                Thread session = new Thread(() -> serve(socket));
                session.setDaemon(true);
                session.start();
            }
        }
    }

    private static void serve(Socket socket) {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            // The packets of an answer are buffered and written together, without Nagle's algorithm.
            // Otherwise each packet would wait for the peer's acknowledgement of the one before.
            socket.setTcpNoDelay(true);
            OutputStream out = new BufferedOutputStream(socket.getOutputStream());
            send(
                    out,
                    0,
                    10,
                    "toy",
                    0,
                    1,
                    0,
                    0,
                    0,
                    "abcdefgh",
                    0,
                    0,
                    0xa2,
                    45,
                    2,
                    0,
                    8,
                    0,
                    21,
                    new byte[10],
                    "ijklmnopqrst",
                    0,
                    "mysql_native_password",
                    0);
            out.flush();
            receive(in);
            send(out, 2, 0, 0, 0, 2, 0, 0, 0);
            List<String> prepared = new ArrayList<>();
            while (true) {
                out.flush();
                byte[] command = receive(in);
                String text = new String(command, 1, command.length - 1, StandardCharsets.UTF_8);
                switch (command[0]) {
                    case 0x03 -> answer(out, text, false);
                    case 0x16 -> {
                        prepared.add(text);
                        prepare(out, prepared.size(), (int)
                                text.chars().filter(c -> c == '?').count());
                    }
                    case 0x17 -> answer(out, prepared.get((command[1] & 0xff) + ((command[2] & 0xff) << 8) - 1), true);
                    case 0x18, 0x19 -> {}
                    default -> send(out, 1, 0, 0, 0, 2, 0, 0, 0);
                }
            }
        } catch (IOException e) {
            System.out.println("connection closed");
        }
    }

    private static void prepare(OutputStream out, int number, int params) throws IOException {
        int sequence = 1;
        send(out, sequence++, 0, number & 0xff, number >> 8, 0, 0, 1, 0, params, 0, 0, 0, 0);
        for (int i = 0; i < params; i++) {
            column(out, sequence++, "?");
        }
        if (params > 0) {
            send(out, sequence++, 0xfe, 0, 0, 2, 0);
        }
        column(out, sequence++, "echo");
        send(out, sequence, 0xfe, 0, 0, 2, 0);
    }

    private static void answer(OutputStream out, String text, boolean binary) throws IOException {
        if (text.matches("(?is)\\s*(set|use)\\s.*")) {
            send(out, 1, 0, 0, 0, 2, 0, 0, 0);
            return;
        }
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        byte[] row = Arrays.copyOf(bytes, Math.min(250, bytes.length));
        send(out, 1, 1);
        column(out, 2, "echo");
        send(out, 3, 0xfe, 0, 0, 2, 0);
        send(out, 4, binary ? new byte[2] : new byte[0], row.length, row);
        send(out, 5, 0xfe, 0, 0, 2, 0);
    }

    private static void column(OutputStream out, int sequence, String name) throws IOException {
        send(out, sequence, 3, "def", 0, 0, 0, name.length(), name, 0, 12, 45, 0, 0, 4, 0, 0, 253, 0, 0, 0, 0, 0);
    }

    private static byte[] receive(DataInputStream in) throws IOException {
        int length = in.read();
        if (length < 0) {
            throw new EOFException();
        }
        length |= in.readUnsignedByte() << 8 | in.readUnsignedByte() << 16;
        in.readByte();
        return in.readNBytes(length);
    }

    private static void send(OutputStream out, int sequence, Object... parts) throws IOException {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        for (Object part : parts) {
            if (part instanceof Integer number) {
                payload.write(number);
            } else {
                payload.writeBytes(
                        part instanceof byte[] bytes ? bytes : part.toString().getBytes(StandardCharsets.UTF_8));
            }
        }
        ByteArrayOutputStream frame = new ByteArrayOutputStream();
        frame.write(payload.size());
        frame.write(payload.size() >> 8);
        frame.write(payload.size() >> 16);
        frame.write(sequence);
        frame.writeBytes(payload.toByteArray());
        out.write(frame.toByteArray());
    }
}
