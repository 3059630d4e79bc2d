package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lineward.testing.AdminClient;
import lineward.testing.EngineBehavior;
import lineward.testing.Program;
import lineward.testing.ProgramMetrics;
import lineward.testing.TestingClient;
import lineward.testing.TestingPlatform;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Signals and shutdowns that coincide with requests. The tests wait for conditions to force the order. */
public class ShutdownSignalTest {
    private static final int SERVED = 0;
    private static final int FAILED = 2;
    private TestingPlatform platform;

    @BeforeMethod
    public void start() throws IOException {
        platform = new TestingPlatform(Map.of());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        platform.close();
    }

    private boolean isListening() {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), platform.program().port())) {
            return socket.isConnected();
        } catch (ConnectException e) {
            return false;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Half a frame has arrived when the listener and idle connections close: the request is still served. */
    @Test
    public void servesARequestSplitBySigterm() throws IOException, InterruptedException {
        try (TestingClient caller = platform.client()) {
            byte[] frame = caller.encode(TestingClient.fields(2000), "select 1");
            caller.sendRaw(Arrays.copyOf(frame, frame.length / 2));
            platform.program().sendSigterm();
            Program.await("the program accepts no connections", () -> !isListening());
            caller.sendRaw(Arrays.copyOfRange(frame, frame.length / 2, frame.length));
            assertEquals(caller.read().fieldId(), SERVED);
            assertEquals(platform.program().awaitExitStatus(), 0);
        }
    }

    /** Both signals are repeated; the open request gets one response, and the exit status is the same. */
    @Test
    public void repeatedSignalsChangeNothing() throws IOException, InterruptedException {
        platform.setBehavior(EngineBehavior.NO_RESPONSE);
        try (TestingClient caller = platform.client()) {
            caller.send(TestingClient.fields(9000), "select 1");
            Program.await("the request runs", () -> platform.attempts() == 1);
            platform.program().sendSighup();
            platform.program().sendSigterm();
            Program.await(
                    "the shutdown has started", () -> platform.program().log().contains("SIGTERM"));
            platform.program().sendSigterm();
            platform.program().sendSighup();
            assertEquals(caller.read().fieldId(), FAILED, "the final response");
            assertTrue(caller.isClosed(), "closed without a second response");
            assertEquals(platform.program().awaitExitStatus(), 0);
        }
    }

    /** A client that reads no responses must not delay the exit until the process is killed. */
    @Test
    public void aClientThatReadsNothingDoesNotDelayTheShutdown() throws IOException, InterruptedException {
        platform.setBehavior(EngineBehavior.LARGE_RESULT);
        try (TestingClient client = new TestingClient(platform.program().port(), 4096)) {
            int sentCount = 0;
            while (ProgramMetrics.read(platform.program()).get("edge_relay_unread_answer_bytes") < 100_000) {
                client.send(TestingClient.fields(2000), "select 1");
                int expectedCount = ++sentCount;
                assertTrue(expectedCount < 200, "the buffers must be full by now");
                Program.await("the request runs", () -> platform.attempts() >= expectedCount);
            }
            long startNanos = System.nanoTime();
            platform.program().sendSigterm();
            assertEquals(platform.program().awaitExitStatus(), 0);
            assertTrue(System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(3700), "exits in time");
        }
    }

    /**
     * The process is suspended while a request arrives on an idle connection and the close of that connection
     * falls due: both are pending in the event loop run in which it resumes.
     */
    @Test
    public void servesARequestThatArrivesAsItsConnectionCloses() throws IOException, InterruptedException {
        AdminClient operator = new AdminClient(platform.program());
        try (TestingClient caller = platform.client()) {
            assertTrue(caller.callMethod("ping").ok());
            assertEquals(operator.post("/ops/drain/start", "").status(), 200);
            long drainStartNanos = System.nanoTime();
            platform.program().sendSignal("STOP");
            caller.send(TestingClient.fields(5000), "select 1");
            long closeDueNanos = TimeUnit.MILLISECONDS.toNanos(1550);
            Program.await("the close is due", () -> System.nanoTime() - drainStartNanos > closeDueNanos);
            platform.program().sendSignal("CONT");
            assertEquals(caller.read().fieldId(), SERVED);
        }
    }

    @Test
    public void forwardsNoRequestAfterTheConnectionIsShutDown() throws IOException {
        AdminClient operator = new AdminClient(platform.program());
        try (TestingClient caller = platform.client();
                TestingClient other = platform.client()) {
            assertTrue(caller.callMethod("ping").ok());
            assertEquals(operator.post("/ops/drain/start", "").status(), 200);
            assertThrows(EOFException.class, caller::read);
            caller.send(TestingClient.fields(2000), "select 1");
            assertEquals(operator.post("/ops/drain/stop", "").status(), 200);
            assertEquals(other.isClosed(), true, "the other idle connection is closed");
            try (TestingClient newClient = platform.client()) {
                assertEquals(
                        newClient.call(TestingClient.fields(2000), "select 2").fieldId(), SERVED);
            }
            assertEquals(platform.attempts(), 1);
        }
    }

    /** A named pipe holds the start at the point where the program reads its configuration. */
    @Test
    public void handlesSignalsDuringTheStart() throws Exception {
        Path folder = Files.createTempDirectory("start");
        Path configPipe = folder.resolve("config.json");
        assertEquals(new ProcessBuilder("mkfifo", configPipe.toString()).start().waitFor(), 0);
        String config = Files.readString(platform.configFile());
        try (Program program = new Program(Map.of("RELAY_CONFIG", configPipe.toString()), "serve")) {
            // Opening the pipe blocks until the program opens it to read its configuration.
            try (OutputStream out = Files.newOutputStream(configPipe)) {
                program.sendSighup();
                out.write(config.getBytes(StandardCharsets.UTF_8));
            }
            // The program has closed the pipe once it listens; a writer before that may meet its first read.
            int port = program.port();
            // SIGHUP makes the program read the configuration again, so the pipe is written again.
            Files.writeString(configPipe, config);
            try (TestingClient caller = new TestingClient(port)) {
                assertEquals(caller.call(TestingClient.fields(2000), "select 1").fieldId(), SERVED);
            }
            program.sendSigterm();
            assertEquals(program.awaitExitStatus(), 0);
        }
        try (Program program = new Program(Map.of("RELAY_CONFIG", configPipe.toString()), "serve")) {
            try (OutputStream out = Files.newOutputStream(configPipe)) {
                program.sendSigterm();
                assertTrue(program.awaitExitStatus() != 2, "no configuration error");
                assertFalse(program.log().contains("listening"), program.log());
                assertTrue(out != null);
            }
        }
        Files.delete(configPipe);
        Files.delete(folder);
    }
}
