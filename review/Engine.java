import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A sound query engine: runs each request for the time of its class, and answers with one row. */
final class Engine {
    private final String name;
    private final ServerSocket server = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2, task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private final Random random = new Random(7);
    final Map<String, Integer> workMs = new ConcurrentHashMap<>(Map.of("place-check", 90, "term-report", 1000));

    Engine(String name) throws IOException {
        this.name = name;
        Journal.start(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Rows of a result: 100 bytes each, 60 a page. */
    static int rows = 1;

    private static final int ROWS_PER_PAGE = 60;

    /** Returns the result of a statement, which clients compare with what they get. */
    static String result(String statement) {
        return rows(statement, 0, rows);
    }

    private static String rows(String statement, int from, int to) {
        StringBuilder text = new StringBuilder();
        for (int row = from; row < to; row++) {
            String start = statement.hashCode() + "\t" + row + "\t";
            text.append(start).append("x".repeat(99 - start.length())).append('\n');
        }
        return text.toString();
    }

    private static int pages() {
        return (rows + ROWS_PER_PAGE - 1) / ROWS_PER_PAGE;
    }

    private static String page(String statement, int page) {
        return rows(statement, page * ROWS_PER_PAGE, Math.min(rows, (page + 1) * ROWS_PER_PAGE));
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Journal.start(() -> serve(socket));
            }
        } catch (IOException e) {
            // The process ends.
        }
    }

    private void serve(Socket socket) {
        Map<String, Future<?>> running = new HashMap<>();
        Map<String, String> results = new ConcurrentHashMap<>();
        try (socket) {
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            String line;
            while ((line = readLine(in)) != null) {
                String[] words = line.split(" ");
                switch (words[0]) {
                    case "want" -> {
                        String statement = new String(
                                in.readNBytes(Integer.parseInt(words[3])), StandardCharsets.UTF_8);
                        readLine(in);
                        String type = words[2].replaceAll(".*sort=([^,]*).*", "$1");
                        Record.line(name + ": run " + words[1] + " " + type);
                        synchronized (running) {
                            running.put(words[1], timer.schedule(
                                    () -> answer(socket, running, results, words[1], statement),
                                    Math.round(workMs.get(type) * (0.7 + 0.6 * random.nextDouble())),
                                    TimeUnit.MILLISECONDS));
                        }
                    }
                    case "never_mind" -> {
                        Future<?> run;
                        synchronized (running) {
                            run = running.remove(words[1]);
                        }
                        if (run != null) {
                            run.cancel(false);
                            Record.line(name + ": given up " + words[1]);
                        }
                    }
                    case "there", "busy" -> write(socket, words[1] + " PONG - 0\r\n\r\n");
                    case "turn" -> {
                        String statement = results.get(words[1]);
                        int page = Integer.parseInt(words[2]);
                        String body = statement == null ? "" : page(statement, page);
                        String answer = statement == null ? " FAULT - " : " PART index=" + page + " ";
                        write(socket, words[1] + answer + body.length() + "\r\n" + body + "\r\n");
                    }
                    case "shut" -> results.remove(words[1]);
                    default -> {
                        // hurry needs no answer.
                    }
                }
            }
        } catch (IOException | RuntimeException e) {
            // The front end has closed the connection.
        }
        synchronized (running) {
            running.forEach((id, run) -> {
                run.cancel(false);
                Record.line(name + ": given up " + id + " (connection closed)");
            });
        }
    }

    private void answer(Socket socket, Map<String, Future<?>> running, Map<String, String> results, String id, String statement) {
        synchronized (running) {
            if (running.remove(id) == null) {
                return;
            }
        }
        try {
            String body = page(statement, 0);
            if (pages() > 1) {
                results.put(id, statement);
            }
            write(socket, id + " HIT total=" + pages() + " " + body.length() + "\r\n" + body + "\r\n");
            Record.line(name + ": end " + id);
        } catch (IOException e) {
            Record.line(name + ": not sent " + id);
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        synchronized (socket) {
            out.write(text.getBytes(StandardCharsets.UTF_8));
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int value;
        while ((value = in.read()) != '\n') {
            if (value < 0) {
                return null;
            }
            line.write(value);
        }
        return line.toString(StandardCharsets.US_ASCII).stripTrailing();
    }
}
