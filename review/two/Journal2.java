import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A sound journal service; it may take a given time for each answer, which then tells what is known by then. */
final class Journal2 implements AutoCloseable {
    private static final Pattern TAIL = Pattern.compile("tail=(\\d+)");
    private static final Pattern WAIT = Pattern.compile("max_wait=(\\d+)");

    private final ServerSocket server;
    private final List<String> events = new ArrayList<>();
    private volatile long delayMs;

    /** @param instances the whole list at the start */
    Journal2(String instances) throws IOException {
        add(true, instances);
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        FrontEnd2.startDaemon(this::serve);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Sets the time that each answer takes from its poll on, at least. */
    void setDelayMs(long delay) {
        delayMs = delay;
    }

    synchronized void add(boolean reset, String instances) {
        int number = events.size() + 1;
        events.add("{\"pos\":" + number + ",\"hosts\":{\"generation\":" + number + ",\"reset\":" + reset
                + ",\"instances\":[" + instances + "]}}");
        notifyAll();
    }

    /** Returns the events after the given one, in the form of an answer. */
    synchronized String after(int tail) {
        List<String> later = events.subList(Math.min(tail, events.size()), events.size());
        return "{\"pos\":" + events.size() + ",\"entries\":[" + String.join(",", later) + "]}";
    }

    private synchronized void awaitLater(int tail, long waitMs) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
        long leftMs = waitMs;
        while (events.size() <= tail && leftMs > 0) {
            wait(leftMs);
            leftMs = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
        }
    }

    private void serve() {
        try {
            while (true) {
                Socket socket = server.accept();
                FrontEnd2.startDaemon(() -> answerPolls(socket));
            }
        } catch (IOException e) {
            // The case has ended.
        }
    }

    private void answerPolls(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            StringBuilder head = new StringBuilder();
            int next = in.read();
            while (next >= 0) {
                head.append((char) next);
                if (head.toString().endsWith("\r\n\r\n")) {
                    answer(out, number(TAIL, head), number(WAIT, head));
                    head.setLength(0);
                }
                next = in.read();
            }
        } catch (IOException | InterruptedException e) {
            // The front end has closed the connection.
        }
    }

    private void answer(OutputStream out, int tail, int waitMs) throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        awaitLater(tail, waitMs);
        long leftMs = delayMs - TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        Thread.sleep(Math.max(0, leftMs));
        String body = after(tail);
        String answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
        out.write(answer.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private static int number(Pattern pattern, CharSequence head) {
        Matcher matcher = pattern.matcher(head);
        return matcher.find() ? Integer.parseInt(matcher.group(1)) : 0;
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
