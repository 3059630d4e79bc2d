package lineward.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import lineward.mysql.TestingMysqlEngine.Fault;
import lineward.testing.Program;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Results that exceed an attempt's buffer, with the program, test clients and test engines. */
public class SpooledResultsTest extends SpoolProgramFixture {
    /** Four connections to engines serve 500 clients, because a client that reads slowly occupies none. */
    @Test
    public void releasesEnginesWhileHundredsOfClientsReadSlowly() throws IOException {
        List<TestingMysqlClient> slowClients = new ArrayList<>();
        try {
            for (int i = 0; i < 500; i++) {
                TestingMysqlClient client = client();
                client.packets.socket.setReceiveBufferSize(4096);
                slowClients.add(client);
                client.send(3, "select rows=150 size=1000");
                int requested = i + 1;
                Program.await("an engine executed the statement", () -> executionCount() >= requested);
            }
            try (TestingMysqlClient fastClient = client()) {
                long startNanos = System.nanoTime();
                assertEquals(fastClient.query("select rows=3").rows().size(), 3);
                assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(1), "engines are free");
            }
            assertEquals(slowClients.get(0).packets.read()[0], 1, "slow clients are still served");
        } finally {
            for (TestingMysqlClient client : slowClients) {
                client.close();
            }
        }
    }

    @DataProvider
    public Object[][] faultsBetweenRows() {
        return new Object[][] {
            {Fault.CRASH_BEFORE_FIRST_ROW, 4},
            {Fault.CRASH_BETWEEN_ROWS, 4},
            {Fault.CRASH_BEFORE_LAST_PACKET, 4},
            {Fault.CRASH_BETWEEN_ROWS, 20_000},
            {Fault.CRASH_BEFORE_LAST_PACKET, 20_000}
        };
    }

    @Test(dataProvider = "faultsBetweenRows")
    public void retriesAReadWhoseEngineFailsBetweenRows(Fault fault, int rows) throws IOException {
        try (TestingMysqlClient client = client()) {
            one.fault = fault;
            two.fault = fault;
            one.beforeFault = () -> two.fault = Fault.NONE;
            two.beforeFault = () -> one.fault = Fault.NONE;
            TestingMysqlClient.Result result = client.query("select rows=" + rows);
            assertEquals(result.code(), 0, result.message());
            assertEquals(result.rows().size(), rows);
            assertEquals(executionCount(), 2, "one execution at each engine");
        }
    }

    @Test
    public void disconnectsAReaderWhoseLeaseExpires() throws IOException {
        try (TestingMysqlClient client = client()) {
            client.send(3, "select rows=40000 size=1000");
            Program.await("an engine executed the statement", () -> executionCount() == 1);
            // Reads nothing until the lease has expired. The program then closes the connection, although the
            // result has not been sent completely.
            long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(4);
            Program.await("the lease has expired", () -> System.nanoTime() > untilNanos);
            byte[] buffer = new byte[1 << 16];
            long bytesRead = 0;
            int length = 0;
            while (length >= 0) {
                length = client.packets.socket.getInputStream().read(buffer);
                bytesRead += Math.max(0, length);
            }
            assertTrue(bytesRead < 40_000_000, bytesRead + " bytes");
        } catch (java.net.SocketException e) {
            assertTrue(e.getMessage().contains("reset"), e.getMessage());
        }
    }

    @DataProvider
    public Object[][] packetsRead() {
        return new Object[][] {{0}, {1}, {3}, {200}};
    }

    @Test(dataProvider = "packetsRead")
    public void releasesTheResultsOfAClientThatDisconnects(int packets) throws IOException {
        for (int i = 0; i < 5; i++) {
            try (TestingMysqlClient client = client()) {
                client.send(3, "select rows=5000 size=1000");
                for (int packet = 0; packet < packets; packet++) {
                    client.packets.read();
                }
            }
            try (TestingMysqlClient client = client()) {
                TestingMysqlClient.Statement statement = client.prepare("select rows=500");
                client.openCursor(statement);
                client.fetch(statement, packets);
            }
        }
        try (TestingMysqlClient client = client()) {
            assertEquals(client.query("select rows=1").rows().size(), 1);
        }
        Program.await("all files are deleted", () -> {
            try (Stream<Path> files = Files.list(spoolFolder)) {
                return files.noneMatch(path -> path.toString().endsWith("lwseg"));
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
    }

    @DataProvider
    public Object[][] sizes() {
        return new Object[][] {
            {"rows=0", 0, 0},
            {"rows=1 size=17000000", 1, 17_000_000},
            {"rows=300000", 300_000, 0},
            {"rows=100000 size=1000", 100_000, 1000}
        };
    }

    @Test(dataProvider = "sizes")
    public void sendsCompleteResultsOfAllSizes(String sizes, int rows, int size) throws IOException {
        try (TestingMysqlClient client = client()) {
            TestingMysqlClient.Result result = client.query("select " + sizes);
            assertEquals(result.code(), 0, result.message());
            assertEquals(result.rows().size(), rows);
            for (byte[] row : result.rows()) {
                assertTrue(row.length >= size);
            }
        }
    }

    @Test
    public void failsToStartOnALockedFolderButNotOnAnUnusableOne() throws IOException, InterruptedException {
        program.port();
        try (Program second = program("folder = \"" + spoolFolder + "\"\n")) {
            assertEquals(second.awaitExitStatus(), 2);
            assertTrue(second.log().contains("is held by another process"), second.log());
        }
        program.close();
        program = program("folder = \"" + configFile + "/below\"\n");
        program.port();
        assertTrue(program.log().contains("results stay in memory"), program.log());
        try (TestingMysqlClient client = client()) {
            assertEquals(client.query("select rows=3000").rows().size(), 3000);
        }
    }

    @Test
    public void appliesSettingsOfASessionAtTheEngine() throws IOException {
        try (TestingMysqlClient client = client();
                TestingMysqlClient plain = client()) {
            assertEquals(
                    client.query("set sql_mode = 'ANSI', wait_timeout = 10").code(), 0);
            assertEquals(client.query("select @@sql_mode as m").rows().size(), 1);
            assertEquals(executionCount(), 0, "answered by the front end");
            client.query("select rows=1");
            plain.query("select rows=1");
            List<String> received = new ArrayList<>(one.commands);
            received.addAll(two.commands);
            assertTrue(received.contains("SET SESSION sql_mode='ANSI'"), received.toString());
            assertFalse(received.toString().contains("wait_timeout"), received.toString());
        }
    }

    /** The slow client reads one byte of a long result between two queries of the other client. */
    @Test
    public void slowReaderDelaysNoOtherClient() throws IOException {
        try (TestingMysqlClient slowClient = client();
                TestingMysqlClient fastClient = client()) {
            Socket socket = slowClient.packets.socket;
            socket.setReceiveBufferSize(4096);
            slowClient.send(3, "select rows=10000 size=1000");
            for (int i = 0; i < 10; i++) {
                assertTrue(socket.getInputStream().read() >= 0);
                assertEquals(fastClient.query("select rows=1").rows().size(), 1);
            }
        }
    }
}
