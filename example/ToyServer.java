import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A toy MySQL engine on loopback: it lets everyone in and answers each text with one row that repeats it. */
public final class ToyServer {
    private ToyServer() { }

    /** @param args the port */
    public static void main(String[] args) throws IOException {
        int port = Integer.parseInt(args[0]);
        try (ServerSocket server = new ServerSocket(port, 50, InetAddress.getByName("127.0.0.1"))) {
            System.out.println("toy engine on 127.0.0.1:" + port);
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
            OutputStream out = socket.getOutputStream();
            send(out, 0, 10, "toy", 0, 1, 0, 0, 0, "abcdefgh", 0, 0, 0xa2, 45, 2, 0, 8, 0, 21,
                    new byte[10], "ijklmnopqrst", 0, "mysql_native_password", 0);
            receive(in);
            send(out, 2, 0, 0, 0, 2, 0, 0, 0);
            while (true) {
                byte[] command = receive(in);
                if (command[0] != 3) {
                    send(out, 1, 0, 0, 0, 2, 0, 0, 0);
                    continue;
                }
                String text = new String(command, 1, command.length - 1, StandardCharsets.UTF_8);
                send(out, 1, 1);
                send(out, 2, 3, "def", 0, 0, 0, 4, "echo", 0, 12, 45, 0, 0, 4, 0, 0, 253, 0, 0, 0, 0, 0);
                send(out, 3, 0xfe, 0, 0, 2, 0);
                send(out, 4, Math.min(250, text.length()), text.substring(0, Math.min(250, text.length())));
                send(out, 5, 0xfe, 0, 0, 2, 0);
            }
        } catch (IOException e) {
            System.out.println("a connection has ended");
        }
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
                payload.writeBytes(part instanceof byte[] bytes ? bytes
                        : part.toString().getBytes(StandardCharsets.UTF_8));
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
