import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The journal service: numbered events over long polls. */
final class Journal {
    private static final Pattern POLL = Pattern.compile("GET /journal\\?tail=(\\d+)&max_wait=(\\d+) HTTP/1.1");
    private final ServerSocket server = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
    private final List<String> events = new ArrayList<>();

    Journal() throws IOException {
        start(this::accept);
    }

    static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return server.getLocalPort();
    }

    static String instance(String id, int port, String zone, String kind, String state) {
        return "{\"instanceId\":\"" + id + "\",\"hostPort\":\"127.0.0.1:" + port + "\",\"zone\":\"" + zone
                + "\",\"machineType\":\"" + kind + "\",\"cell\":0,\"lifecycle\":\"" + state
                + "\",\"weight\":1,\"startedAtMs\":0}";
    }

    synchronized void publish(boolean reset, List<String> instances) {
        int pos = events.size() + 1;
        events.add("{\"pos\":" + pos + ",\"hosts\":{\"generation\":" + pos + ",\"reset\":" + reset
                + ",\"instances\":[" + String.join(",", instances) + "]}}");
        Record.line("journal: event " + pos + " " + instances);
        notifyAll();
    }

    synchronized String after(int tail) {
        List<String> later = events.subList(Math.min(tail, events.size()), events.size());
        return "{\"pos\":" + events.size() + ",\"entries\":[" + String.join(",", later) + "]}";
    }

    private synchronized String await(int tail, int waitMs) throws InterruptedException {
        long until = Record.now() + waitMs;
        while (events.size() <= tail && Record.now() < until) {
            wait(Math.max(1, until - Record.now()));
        }
        return after(tail);
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                start(() -> serve(socket));
            }
        } catch (IOException e) {
            // The process ends.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            String request;
            while ((request = in.readLine()) != null) {
                while (!in.readLine().isEmpty()) {
                    // Skips the headers.
                }
                Matcher poll = POLL.matcher(request);
                if (!poll.matches()) {
                    return;
                }
                String body = await(Integer.parseInt(poll.group(1)), Integer.parseInt(poll.group(2)));
                String head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                        + "\r\n\r\n";
                socket.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException | InterruptedException | NullPointerException e) {
            // The front end has closed the connection.
        }
    }
}
