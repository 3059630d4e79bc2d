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
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import lineward.Program;
import lineward.core.MonotonicClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The poll on real sockets: services that fail in each way, a file cut at each length. */
public class JournalPollTest {
    private enum Mode {
        ANSWERS,
        ACCEPTS_ONLY,
        CLOSES_AT_ONCE,
        DRIBBLES,
        GARBAGE
    }

    /** A service that answers each poll at once with its one event, or fails as told. */
    private static final class Service implements AutoCloseable {
        final ServerSocket server;
        final List<Socket> sockets = new CopyOnWriteArrayList<>();
        final AtomicInteger answers = new AtomicInteger();
        final int event;
        volatile Mode mode;

        Service(int event, Mode mode) throws IOException {
            server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
            this.event = event;
            this.mode = mode;
            thread(() -> {
                while (true) {
                    Socket socket = server.accept();
                    sockets.add(socket);
                    thread(() -> serve(socket, this.mode));
                }
            });
        }

        private interface Task {
            void run() throws IOException;
        }

        private static void thread(Task task) {
            Thread thread = new Thread(
                    () -> {
                        try {
                            task.run();
                        } catch (IOException e) {
                            // The peer, or this service, has gone.
                        }
                    },
                    "service");
            thread.setDaemon(true);
            thread.start();
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        private void serve(Socket socket, Mode met) throws IOException {
            if (met == Mode.CLOSES_AT_ONCE) {
                socket.close();
                return;
            }
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            OutputStream out = socket.getOutputStream();
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                if (!line.isEmpty() || met == Mode.ACCEPTS_ONLY) {
                    continue;
                }
                String body = met == Mode.GARBAGE
                        ? "{"
                        : "{\"pos\":" + event + ",\"entries\":[{\"pos\":" + event
                                + ",\"hosts\":{\"reset\":true,\"instances\":[]}}]}";
                byte[] answer = ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII);
                for (int i = 0; met == Mode.DRIBBLES && i < answer.length - 1; i++) {
                    out.write(answer, i, 1);
                    pause(100);
                }
                out.write(answer);
                answers.incrementAndGet();
            }
        }

        private static void pause(int ms) {
            try {
                TimeUnit.MILLISECONDS.sleep(ms);
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
    private DiscoveryClient poll;

    @BeforeMethod
    public void makeFile() throws IOException {
        file = Files.createTempFile("journal", ".txt");
        list = new EndpointList(List.of(), List.of(), (whole, entries) -> {});
    }

    @AfterMethod
    public void closeAll() throws IOException {
        loop.submit(() -> poll = null).syncUninterruptibly();
        for (Service service : services) {
            service.close();
        }
        services.clear();
        Files.deleteIfExists(file);
    }

    private Service service(int event, Mode mode) throws IOException {
        Service service = new Service(event, mode);
        services.add(service);
        return service;
    }

    /** The file holds an address and an end mark, without which it counts as cut. */
    private void write(String text) throws IOException {
        Files.writeString(file, text);
    }

    private String read() {
        try {
            String text = Files.readString(file);
            if (!text.endsWith(";")) {
                throw new IllegalStateException("the file is cut");
            }
            return text.substring(0, text.length() - 1);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void start(String address) {
        poll = new DiscoveryClient(loop, address, list, this::read, new MonotonicClock());
        tick();
    }

    private void tick() {
        loop.schedule(
                () -> {
                    if (poll != null) {
                        poll.tick();
                        tick();
                    }
                },
                5,
                TimeUnit.MILLISECONDS);
    }

    private void hangUp() {
        loop.submit(poll::reloadAddress).syncUninterruptibly();
    }

    private long position() {
        long[] position = new long[1];
        loop.submit(() -> position[0] = list.position()).syncUninterruptibly();
        return position[0];
    }

    private void awaitEvent(int event) {
        long start = System.nanoTime();
        Program.await("event " + event, () -> position() == event);
        long took = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
        assertTrue(took < 4000, "heard after " + took + " ms");
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {{Mode.ACCEPTS_ONLY}, {Mode.CLOSES_AT_ONCE}, {Mode.DRIBBLES}, {Mode.GARBAGE}};
    }

    @Test(dataProvider = "faults")
    public void aServiceThatFailsAtTheStartIsHeardOnceItAnswers(Mode fault) throws IOException {
        Service service = service(3, fault);
        write(service.address() + ';');
        start(service.address());
        Program.await("it came", () -> !service.sockets.isEmpty());
        service.mode = Mode.ANSWERS;
        awaitEvent(3);
    }

    /** The old service is gone or mute, the signal was lost or met a broken file: the file is found. */
    @Test(dataProvider = "faults")
    public void aServiceThatFailsLaterIsLeftForTheOneInTheFile(Mode fault) throws IOException {
        Service old = service(3, Mode.ANSWERS);
        Service next = service(4, Mode.ANSWERS);
        write(old.address() + ';');
        start(old.address());
        awaitEvent(3);
        old.mode = fault;
        for (Socket socket : old.sockets) {
            socket.close();
        }
        write(next.address() + ';');
        awaitEvent(4);
    }

    @Test
    public void aRefusedConnectionAtTheStartIsTriedAgain() throws IOException {
        Service gone = service(1, Mode.ANSWERS);
        gone.close();
        write("");
        start(gone.address());
        Service next = service(2, Mode.ANSWERS);
        write(next.address() + ';');
        awaitEvent(2);
    }

    @Test
    public void aFileCutAtAnyLengthIsReadAgainUntilItIsWhole() throws IOException {
        Service first = service(1, Mode.ANSWERS);
        write(first.address() + ';');
        start(first.address());
        awaitEvent(1);
        int length = first.address().length();
        for (int cut = 0; cut <= length; cut++) {
            Service next = service(cut + 2, Mode.ANSWERS);
            String whole = next.address() + ';';
            write(whole.substring(0, Math.min(cut, whole.length() - 1)));
            hangUp();
            if (cut % 2 == 0) {
                hangUp();
            }
            write(whole);
            awaitEvent(cut + 2);
        }
    }

    @Test
    public void afterMovesInQuickTurnsTheLastHolds() throws IOException {
        Service first = service(1, Mode.ANSWERS);
        write(first.address() + ';');
        start(first.address());
        Service last = first;
        for (int i = 0; i < 20; i++) {
            last = service(i + 2, Mode.ANSWERS);
            write(last.address() + ';');
            hangUp();
        }
        awaitEvent(21);
        int before = last.answers.get();
        Service at = last;
        Program.await("it stays there", () -> at.answers.get() > before + 2);
        assertEquals(position(), 21);
    }
}
