package lineward.testing;

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

/** A fake service discovery: publishes numbered events, which clients receive by long polls. */
public final class TestingServiceDiscovery implements AutoCloseable {
    private final HttpServer server;
    private final List<String> events = new ArrayList<>();
    /** Whether polls get an error. */
    private volatile boolean failing;
    /** Whether polls get no response while their connections stay open. */
    private volatile boolean unresponsive;

    /** Whether every second connection gets no response. */
    private volatile boolean halfUnresponsive;
    /** Least time from a poll to its response. */
    private volatile int responseDelayMs;

    /** The connections in the order of their first polls. */
    private final List<InetSocketAddress> connections = new ArrayList<>();

    private final AtomicInteger polls = new AtomicInteger();
    private volatile int lastDelivered;

    public TestingServiceDiscovery() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "journal");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/journal", this::poll);
        server.start();
    }

    public String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Sets whether polls get an error. */
    public void setFailing(boolean failing) {
        this.failing = failing;
    }

    /** Sets whether polls get no response while their connections stay open. */
    public void setUnresponsive(boolean unresponsive) {
        this.unresponsive = unresponsive;
    }

    /** Sets the least time from a poll to its response, which contains the events up to then. */
    public void setResponseDelayMs(int delayMs) {
        responseDelayMs = delayMs;
    }

    /** Sets whether every second connection gets no response, the next new one first. */
    public synchronized void setHalfUnresponsive(boolean halfUnresponsive) {
        connections.clear();
        this.halfUnresponsive = halfUnresponsive;
    }

    /** Returns the number of received polls. */
    public int polls() {
        return polls.get();
    }

    /** Returns the number of the last event that the program has received, according to its last poll. */
    public int lastDelivered() {
        return lastDelivered;
    }

    /** Returns the number of the last published event. */
    public synchronized int lastPublished() {
        return events.size();
    }

    /** Publishes an event. Three arguments make up an endpoint: its id, port and state. */
    public synchronized void publish(boolean fullSnapshot, String... endpoints) {
        StringBuilder list = new StringBuilder();
        for (int i = 0; i < endpoints.length; i += 3) {
            list.append(i == 0 ? "" : ",")
                    .append("{\"instanceId\":\"")
                    .append(endpoints[i])
                    .append("\",\"hostPort\":\"127.0.0.1:")
                    .append(endpoints[i + 1])
                    .append("\",\"zone\":\"east\",\"machineType\":\"std\",\"cell\":0,\"lifecycle\":\"")
                    .append(endpoints[i + 2])
                    .append("\",\"weight\":1,\"startedAtMs\":0}");
        }
        int number = events.size() + 1;
        String hosts = "{\"generation\":1,\"reset\":" + fullSnapshot + ",\"instances\":[" + list + "]}";
        events.add("{\"pos\":" + number + ",\"hosts\":" + hosts + "}");
        notifyAll();
    }

    /** Returns the response with the events whose number is higher. */
    synchronized String eventsAfter(int number) {
        return "{\"pos\":" + events.size() + ",\"entries\":["
                + String.join(",", events.subList(Math.min(number, events.size()), events.size())) + "]}";
    }

    private synchronized void awaitEventsAfter(int number, int millis) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (events.size() <= number && System.nanoTime() < until) {
            TimeUnit.NANOSECONDS.timedWait(this, until - System.nanoTime());
        }
    }

    private synchronized void awaitResponseDelay(long polledNanos) throws InterruptedException {
        long until = polledNanos + TimeUnit.MILLISECONDS.toNanos(responseDelayMs);
        while (System.nanoTime() < until) {
            TimeUnit.NANOSECONDS.timedWait(this, until - System.nanoTime());
        }
    }

    private synchronized boolean isUnresponsive(InetSocketAddress connection) {
        if (!connections.contains(connection)) {
            connections.add(connection);
        }
        return unresponsive || (halfUnresponsive && connections.indexOf(connection) % 2 == 0);
    }

    private void poll(HttpExchange exchange) throws IOException {
        long polledNanos = System.nanoTime();
        String[] query = exchange.getRequestURI().getQuery().split("[=&]", -1);
        polls.incrementAndGet();
        lastDelivered = Integer.parseInt(query[1]);
        if (isUnresponsive(exchange.getRemoteAddress())) {
            return;
        }
        try (exchange) {
            int after = Integer.parseInt(query[1]);
            if (!failing) {
                awaitEventsAfter(after, Integer.parseInt(query[3]));
                awaitResponseDelay(polledNanos);
            }
            String response = failing ? "{" : eventsAfter(after);
            byte[] bytes = response.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(failing ? 500 : 200, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes the server and its connections. */
    public void stop() {
        server.stop(0);
    }

    @Override
    public void close() {
        stop();
    }
}
