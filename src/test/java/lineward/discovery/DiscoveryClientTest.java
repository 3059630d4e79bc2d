package lineward.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import lineward.core.MonotonicClock;
import lineward.testing.Program;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the client on real sockets with each fault of the service, and a file truncated at each length. */
public class DiscoveryClientTest {
    private static final int TICK_MS = 5;

    private enum Behavior {
        HEALTHY,
        NEVER_RESPONDS,
        CLOSES_IMMEDIATELY,
        SENDS_SLOWLY,
        SENDS_INVALID_RESPONSE
    }

    /** A service that responds to each poll at once with its only event, or fails in the given way. */
    private static final class Service implements AutoCloseable {
        final ServerSocket server;
        final List<Socket> sockets = new CopyOnWriteArrayList<>();
        final AtomicInteger responseCount = new AtomicInteger();
        final int eventNumber;
        volatile Behavior behavior;

        Service(int eventNumber, Behavior behavior) throws IOException {
            server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            this.eventNumber = eventNumber;
            this.behavior = behavior;
            startThread(() -> {
                while (true) {
                    Socket socket = server.accept();
                    sockets.add(socket);
                    startThread(() -> serve(socket, this.behavior));
                }
            });
        }

        private interface Task {
            void run() throws IOException;
        }

        private static void startThread(Task task) {
            Thread thread = new Thread(
                    () -> {
                        try {
                            task.run();
                        } catch (IOException e) {
                            // The client has disconnected, or this service was closed.
                        }
                    },
                    "service");
            thread.setDaemon(true);
            thread.start();
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        private void serve(Socket socket, Behavior behaviorAtAccept) throws IOException {
            if (behaviorAtAccept == Behavior.CLOSES_IMMEDIATELY) {
                socket.close();
                return;
            }
            Reader input = new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII);
            BufferedReader reader = new BufferedReader(input);
            OutputStream output = socket.getOutputStream();
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                if (!line.isEmpty() || behaviorAtAccept == Behavior.NEVER_RESPONDS) {
                    continue;
                }
                String body = behaviorAtAccept == Behavior.SENDS_INVALID_RESPONSE
                        ? "{"
                        : "{\"pos\":" + eventNumber + ",\"entries\":[{\"pos\":" + eventNumber
                                + ",\"hosts\":{\"reset\":true,\"instances\":[]}}]}";
                byte[] response = ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII);
                for (int i = 0; behaviorAtAccept == Behavior.SENDS_SLOWLY && i < response.length - 1; i++) {
                    output.write(response, i, 1);
                    pause(100);
                }
                output.write(response);
                responseCount.incrementAndGet();
            }
        }

        private static void pause(int durationMs) {
            try {
                TimeUnit.MILLISECONDS.sleep(durationMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<Service> services = new ArrayList<>();
    private EndpointList list;
    private Path file;
    private DiscoveryClient client;
    private Future<?> tickTask;

    @BeforeMethod
    public void createFile() throws IOException {
        file = Files.createTempFile("discovery", ".txt");
        list = new EndpointList(List.of(), List.of(), (fullSnapshot, endpoints) -> {});
    }

    @AfterMethod
    public void closeAll() throws IOException {
        if (tickTask != null) {
            tickTask.cancel(false);
        }
        for (Service service : services) {
            service.close();
        }
        services.clear();
        Files.deleteIfExists(file);
    }

    private Service service(int eventNumber, Behavior behavior) throws IOException {
        Service service = new Service(eventNumber, behavior);
        services.add(service);
        return service;
    }

    /** Writes the file. A complete file contains an address and an end marker. */
    private void writeFile(String text) throws IOException {
        Files.writeString(file, text);
    }

    private String readFile() {
        try {
            String text = Files.readString(file);
            if (!text.endsWith(";")) {
                throw new IllegalStateException("the file is incomplete");
            }
            return text.substring(0, text.length() - 1);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void startClient(String address) {
        client = new DiscoveryClient(loop, address, list, this::readFile, new MonotonicClock());
        tickTask = loop.scheduleWithFixedDelay(client::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private void signalReload() {
        loop.submit(client::reloadAddress).syncUninterruptibly();
    }

    private long lastEventNumber() {
        return loop.submit(list::lastEventNumber).syncUninterruptibly().getNow();
    }

    private void awaitEvent(int eventNumber) {
        long start = System.nanoTime();
        Program.await("event " + eventNumber, () -> lastEventNumber() == eventNumber);
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        assertTrue(tookMs < 4000, "applied after " + tookMs + " ms");
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {Behavior.NEVER_RESPONDS},
            {Behavior.CLOSES_IMMEDIATELY},
            {Behavior.SENDS_SLOWLY},
            {Behavior.SENDS_INVALID_RESPONSE}
        };
    }

    @Test(dataProvider = "faults")
    public void aServiceThatFailsAtTheStartIsPolledOnceItRecovers(Behavior fault) throws IOException {
        Service service = service(3, fault);
        writeFile(service.address() + ';');
        startClient(service.address());
        Program.await("a connection", () -> !service.sockets.isEmpty());
        service.behavior = Behavior.HEALTHY;
        awaitEvent(3);
    }

    /** Without SIGHUP, the failure of the old service causes a read of the file with the new address. */
    @Test(dataProvider = "faults")
    public void aServiceThatFailsLaterIsReplacedByTheOneInTheFile(Behavior fault) throws IOException {
        Service old = service(3, Behavior.HEALTHY);
        Service next = service(4, Behavior.HEALTHY);
        writeFile(old.address() + ';');
        startClient(old.address());
        awaitEvent(3);
        old.behavior = fault;
        for (Socket socket : old.sockets) {
            socket.close();
        }
        writeFile(next.address() + ';');
        awaitEvent(4);
    }

    @Test
    public void aConnectionRefusedAtTheStartCausesReadsOfTheFile() throws IOException {
        Service stopped = service(1, Behavior.HEALTHY);
        stopped.close();
        writeFile("");
        startClient(stopped.address());
        Service next = service(2, Behavior.HEALTHY);
        writeFile(next.address() + ';');
        awaitEvent(2);
    }

    @Test
    public void anIncompleteFileIsReadAgainUntilItIsComplete() throws IOException {
        Service first = service(1, Behavior.HEALTHY);
        writeFile(first.address() + ';');
        startClient(first.address());
        awaitEvent(1);
        int length = first.address().length();
        for (int writtenLength = 0; writtenLength <= length; writtenLength++) {
            Service next = service(writtenLength + 2, Behavior.HEALTHY);
            String complete = next.address() + ';';
            writeFile(complete.substring(0, Math.min(writtenLength, complete.length() - 1)));
            signalReload();
            if (writtenLength % 2 == 0) {
                signalReload();
            }
            writeFile(complete);
            awaitEvent(writtenLength + 2);
        }
    }

    @Test
    public void afterReloadsInQuickSuccessionTheLastAddressIsPolled() throws IOException {
        Service first = service(1, Behavior.HEALTHY);
        writeFile(first.address() + ';');
        startClient(first.address());
        Service last = first;
        for (int i = 0; i < 20; i++) {
            last = service(i + 2, Behavior.HEALTHY);
            writeFile(last.address() + ';');
            signalReload();
        }
        awaitEvent(21);
        int responsesBefore = last.responseCount.get();
        Service polled = last;
        Program.await("polls at the last address", () -> polled.responseCount.get() > responsesBefore + 2);
        assertEquals(lastEventNumber(), 21);
    }
}
