import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A sound query engine of the platform: it answers each request with one row, after its work. */
class LineEngine2 {
    private static final ScheduledExecutorService WORK = Executors.newScheduledThreadPool(4, task -> {
        Thread thread = new Thread(task, "work");
        thread.setDaemon(true);
        return thread;
    });

    final String name;
    private final ServerSocket server;

    LineEngine2(String name) throws IOException {
        this.name = name;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        FrontEnd2.startDaemon(this::accept);
    }

    String instance(String lifecycle) {
        return "{\"instanceId\":\"" + name + "\",\"hostPort\":\"127.0.0.1:" + server.getLocalPort()
                + "\",\"zone\":\"floor-1\",\"machineType\":\"std-8core\",\"cell\":0,\"lifecycle\":\"" + lifecycle
                + "\",\"weight\":1,\"startedAtMs\":0}";
    }

    /** A request has arrived whole. */
    void arrived(String id) {}

    /** Returns how long the request takes. */
    int workMs(String fields) {
        return 40 + ThreadLocalRandom.current().nextInt(60);
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                FrontEnd2.startDaemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // The engine has ended.
        }
    }

    private void serve(Socket socket) {
        Map<String, ScheduledFuture<?>> open = new ConcurrentHashMap<>();
        try (socket) {
            socket.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            OutputStream out = socket.getOutputStream();
            String line = readLine(in);
            while (line != null) {
                String[] words = line.split(" ");
                if (words[0].equals("want")) {
                    in.readFully(new byte[Integer.parseInt(words[3]) + 2]);
                    String id = words[1];
                    arrived(id);
                    open.put(id, WORK.schedule(() -> {
                        open.remove(id);
                        write(out, id + " HIT total=1 6\r\na\tb\tc\n\r\n");
                    }, workMs(words[2]), TimeUnit.MILLISECONDS));
                } else if (words[0].equals("never_mind")) {
                    ScheduledFuture<?> given = open.remove(words[1]);
                    if (given != null) {
                        given.cancel(false);
                    }
                } else if (words[0].equals("there")) {
                    write(out, words[1] + " PONG - 0\r\n\r\n");
                }
                line = readLine(in);
            }
        } catch (IOException e) {
            // The front end has closed the connection.
        } finally {
            open.values().forEach(work -> work.cancel(false));
        }
    }

    private static void write(OutputStream out, String text) {
        synchronized (out) {
            try {
                out.write(text.getBytes(StandardCharsets.US_ASCII));
            } catch (IOException e) {
                // The front end has closed the connection.
            }
        }
    }

    private static String readLine(DataInputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            line.append((char) next);
            next = in.read();
        }
        return next < 0 ? null : line.substring(0, Math.max(0, line.length() - 1));
    }
}
