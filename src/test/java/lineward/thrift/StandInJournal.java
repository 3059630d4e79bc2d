package lineward.thrift;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A small journal service: events by number, a long poll that waits for later ones. */
final class StandInJournal implements AutoCloseable {
    private final HttpServer server;
    private final List<String> events = new ArrayList<>();
    volatile boolean broken;
    /** Polls that come are never answered, nor is their connection closed. */
    volatile boolean silent;

    private final AtomicInteger polls = new AtomicInteger();
    private volatile int told;

    StandInJournal() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "journal");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/journal", this::poll);
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Returns the polls that have come. */
    int polls() {
        return polls.get();
    }

    /** Returns the number of the last event that the program knows. */
    int told() {
        return told;
    }

    /** Returns the number of the last event. */
    synchronized int last() {
        return events.size();
    }

    /** Adds an event. Each instance is its id, its port and its state. */
    synchronized void tell(boolean whole, String... instances) {
        StringBuilder list = new StringBuilder();
        for (int i = 0; i < instances.length; i += 3) {
            list.append(i == 0 ? "" : ",")
                    .append("{\"instanceId\":\"")
                    .append(instances[i])
                    .append("\",\"hostPort\":\"127.0.0.1:")
                    .append(instances[i + 1])
                    .append("\",\"zone\":\"east\",\"machineType\":\"std\",\"cell\":0,\"lifecycle\":\"")
                    .append(instances[i + 2])
                    .append("\",\"weight\":1,\"startedAtMs\":0}");
        }
        events.add("{\"pos\":" + (events.size() + 1) + ",\"hosts\":{\"generation\":1,\"reset\":" + whole
                + ",\"instances\":[" + list + "]}}");
        notifyAll();
    }

    synchronized String after(int tail) {
        return "{\"pos\":" + events.size() + ",\"entries\":["
                + String.join(",", events.subList(Math.min(tail, events.size()), events.size())) + "]}";
    }

    private synchronized String waitFor(int tail, int millis) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (events.size() <= tail && System.nanoTime() < until) {
            TimeUnit.NANOSECONDS.timedWait(this, until - System.nanoTime());
        }
        return after(tail);
    }

    private void poll(HttpExchange exchange) throws IOException {
        String[] query = exchange.getRequestURI().getQuery().split("[=&]", -1);
        polls.incrementAndGet();
        told = Integer.parseInt(query[1]);
        if (silent) {
            return;
        }
        try (exchange) {
            String answer = broken ? "{" : waitFor(Integer.parseInt(query[1]), Integer.parseInt(query[3]));
            byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(broken ? 500 : 200, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Nobody is there any more. */
    void stop() {
        server.stop(0);
    }

    @Override
    public void close() {
        stop();
    }
}
