package lineward.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import lineward.mysql.StandInEngine.Trouble;
import lineward.testing.Program;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Spooled and paged results through the program, between stand-in clients and engines. */
public class SpoolFrontTest {
    private static final int CURSOR = 0x40;
    private static final int LAST = 0x80;
    private StandInEngine one;
    private StandInEngine two;
    private Path folder;
    private Path file;
    private Program program;

    @BeforeMethod
    public void start() throws IOException {
        one = new StandInEngine();
        two = new StandInEngine();
        folder = Files.createTempDirectory("spooled");
        file = Files.createTempFile("mysql", ".toml");
        program = program("memory-mb = 64\nfolder = \"" + folder + "\"\nlease-s = 2\n");
    }

    private Program program(String spool) throws IOException {
        StringBuilder text = new StringBuilder("listen = \"127.0.0.1:0\"\n[limits]\nclients = 600\n"
                + "connections-per-engine = 2\n[spool]\n" + spool
                + "[[user]]\nname = \"office\"\npassword = \"secret\"\n"
                + "[[user]]\nname = \"other\"\npassword = \"secret\"\n"
                + "[[class]]\nname = \"all\"\naim-ms = 3000\ndeadline-ms = 9000\n");
        for (StandInEngine engine : List.of(one, two)) {
            text.append("[[engine]]\nname = \"")
                    .append(engine == one ? "one" : "two")
                    .append("\"\naddress = \"")
                    .append(engine.address())
                    .append("\"\nuser = \"front\"\n");
        }
        Files.writeString(file, text);
        return new Program(Map.of(), "mysql", file.toString());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        program.close();
        one.close();
        two.close();
        Files.delete(file);
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(f -> f.toFile().delete());
        }
    }

    private StandInClient client() throws IOException {
        return new StandInClient(program.port());
    }

    private StandInClient client(String user) throws IOException {
        return new StandInClient(program.port(), "caching_sha2_password", user, "secret", null);
    }

    private int ran() {
        return one.ran.size() + two.ran.size();
    }

    /** Two engines with two connections each: were they held, the fifth client would be refused. */
    @Test
    public void enginesAreFreeThoughHundredsOfReadersAreSlow() throws IOException {
        List<StandInClient> slow = new ArrayList<>();
        try {
            for (int i = 0; i < 500; i++) {
                StandInClient client = client();
                client.wire.socket.setReceiveBufferSize(4096);
                slow.add(client);
                client.send(3, "select rows=150 size=1000");
                int asked = i + 1;
                Program.await("it ran", () -> ran() >= asked);
            }
            try (StandInClient quick = client()) {
                long start = System.nanoTime();
                assertEquals(quick.query("select rows=3").rows().size(), 3);
                assertTrue(System.nanoTime() - start < TimeUnit.SECONDS.toNanos(1), "engines are free");
            }
            assertEquals(slow.get(0).wire.read()[0], 1, "the slow ones are served on");
        } finally {
            for (StandInClient client : slow) {
                client.close();
            }
        }
    }

    @DataProvider
    public Object[][] deaths() {
        return new Object[][] {
            {Trouble.DIE_IN_ROW_ONE, 4},
            {Trouble.DIE_AMID_ROWS, 4},
            {Trouble.DIE_BEFORE_LAST, 4},
            {Trouble.DIE_AMID_ROWS, 20_000},
            {Trouble.DIE_BEFORE_LAST, 20_000}
        };
    }

    @Test(dataProvider = "deaths")
    public void anEngineThatDiesAmidALongResultLeavesNoTrace(Trouble trouble, int rows) throws IOException {
        try (StandInClient client = client()) {
            one.trouble = trouble;
            two.trouble = trouble;
            one.beforeFault = () -> two.trouble = Trouble.NONE;
            two.beforeFault = () -> one.trouble = Trouble.NONE;
            StandInClient.Result result = client.query("select rows=" + rows);
            assertEquals(result.code(), 0, result.message());
            assertEquals(result.rows().size(), rows);
            assertEquals(ran(), 2, "it ran at the one that died and again");
        }
    }

    @Test
    public void rowsAreFetchedPageByPageWhileNoEngineIsHeld() throws IOException {
        try (StandInClient client = client()) {
            StandInClient.Statement s = client.prepare("select rows=2500");
            assertEquals(client.open(s).status() & CURSOR, CURSOR);
            one.die();
            two.die();
            int seen = 0;
            StandInClient.Page page;
            do {
                page = client.fetch(s, 100);
                for (byte[] row : page.rows()) {
                    assertTrue(new String(row, StandardCharsets.UTF_8).contains("row " + seen + " of"));
                    seen++;
                }
            } while ((page.status() & LAST) == 0 && page.code() == 0);
            assertEquals(seen, 2500);
            assertEquals(client.fetch(s, 100).code(), 1421, "past the end");
        }
    }

    @Test
    public void cursorsStandBesideEachOtherAndCloseByResetCloseAndExecution() throws IOException {
        try (StandInClient client = client()) {
            StandInClient.Statement a = client.prepare("select rows=10");
            StandInClient.Statement none = client.prepare("select rows=0");
            StandInClient.Statement b = client.prepare("select rows=5000");
            client.open(a);
            client.open(b);
            client.open(none);
            assertEquals(client.fetch(a, 4).rows().size(), 4);
            assertEquals(client.fetch(b, 4000).rows().size(), 4000);
            assertEquals(client.fetch(none, 4).status() & LAST, LAST);
            StandInClient.Page rest = client.fetch(a, 100);
            assertEquals(rest.rows().size(), 6);
            assertEquals(rest.status() & LAST, LAST);
            assertEquals(client.command(0x1a, b.id()).code(), 0);
            assertEquals(client.fetch(b, 1).code(), 1421, "reset");
            client.open(b);
            assertEquals(client.execute(b, false).rows().size(), 5000);
            assertEquals(client.fetch(b, 1).code(), 1421, "another execution");
            client.open(b);
            client.send(0x19, b.id());
            assertEquals(client.fetch(b, 1).code(), 1243, "closed");
        }
    }

    @Test
    public void aCursorOverARunThatFailsIsAnError() throws IOException {
        try (StandInClient client = client()) {
            StandInClient.Statement s = client.prepare("select syntax");
            assertEquals(client.open(s).code(), 1064);
            assertEquals(client.fetch(s, 1).code(), 1421);
            assertEquals(client.query("select rows=1").rows().size(), 1);
        }
    }

    @Test
    public void whoComesBackAsksForPageThreeAndNothingRunsAgain() throws IOException {
        String text = " select rows=1000";
        try (StandInClient client = client()) {
            assertEquals(client.query("/* lineward:key=k1 */" + text).rows().size(), 1000);
            assertEquals(client.query("/* lineward:key=k1 */" + text).rows().size(), 1000);
        }
        try (StandInClient again = client()) {
            StandInClient.Result page = again.query("/* lineward:key=k1 from=200 rows=100 */" + text);
            assertEquals(page.rows().size(), 100);
            assertTrue(new String(page.rows().get(0), StandardCharsets.UTF_8).contains("row 200 of"));
            assertEquals(
                    again.query("/* lineward:key=k1 from=990 */" + text).rows().size(), 10);
            assertEquals(
                    again.query("/* lineward:key=k1 from=1000 */" + text).rows().size(), 0);
            StandInClient.Statement s = again.prepare("/* lineward:key=k1 from=1 */ select rows=7");
            assertEquals(again.open(s).code(), 1210, "the key is another statement's");
            assertEquals(ran(), 1);
        }
        try (StandInClient other = client("other")) {
            StandInClient.Result foreign = other.query("/* lineward:key=k1 from=200 */" + text);
            StandInClient.Result unknown = other.query("/* lineward:key=k9 from=200 */" + text);
            assertEquals(foreign.code(), 1210);
            assertEquals(foreign.message(), unknown.message(), "it does not tell which keys exist");
            assertEquals(other.query("/* lineward:key=k1 */" + text).rows().size(), 1000);
            assertEquals(ran(), 2);
        }
    }

    @Test
    public void aNamedResultOutlivesAKill() throws IOException {
        String text = " select rows=3000 size=100";
        try (StandInClient client = client()) {
            assertEquals(client.query("/* lineward:key=k */" + text).rows().size(), 3000);
        }
        Program.await("it is on file", () -> {
            try {
                return lineward.spool.store.SpoolFolder.inspect(folder)
                                .complete()
                                .size()
                        == 1;
            } catch (IOException e) {
                throw new AssertionError(e);
            }
        });
        program.close();
        program = program("folder = \"" + folder + "\"\n");
        try (StandInClient client = client()) {
            assertEquals(
                    client.query("/* lineward:key=k from=2000 rows=50 */" + text)
                            .rows()
                            .size(),
                    50);
            assertEquals(ran(), 1);
        }
    }

    @Test
    public void aReaderThatStopsForGoodIsLetGo() throws IOException {
        try (StandInClient client = client()) {
            client.send(3, "select rows=40000 size=1000");
            Program.await("it ran", () -> ran() == 1);
            // What the sockets hold is read only after the lease: then the end comes before the last row.
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(4);
            Program.await("its lease", () -> System.nanoTime() > until);
            byte[] some = new byte[1 << 16];
            long read = 0;
            int length = 0;
            while (length >= 0) {
                length = client.wire.socket.getInputStream().read(some);
                read += Math.max(0, length);
            }
            assertTrue(read < 40_000_000, read + " bytes");
        } catch (java.net.SocketException e) {
            assertTrue(e.getMessage().contains("reset"), e.getMessage());
        }
    }

    @DataProvider
    public Object[][] leavings() {
        return new Object[][] {{0}, {1}, {3}, {200}};
    }

    @Test(dataProvider = "leavings")
    public void whoVanishesAmidAReplyLeavesNothingBehind(int packets) throws IOException {
        for (int i = 0; i < 5; i++) {
            try (StandInClient client = client()) {
                client.send(3, "select rows=5000 size=1000");
                for (int p = 0; p < packets; p++) {
                    client.wire.read();
                }
            }
            try (StandInClient client = client()) {
                StandInClient.Statement s = client.prepare("select rows=500");
                client.open(s);
                client.fetch(s, packets);
            }
        }
        try (StandInClient client = client()) {
            assertEquals(client.query("select rows=1").rows().size(), 1);
        }
        Program.await("no file is left", () -> {
            try (Stream<Path> files = Files.list(folder)) {
                return files.noneMatch(f -> f.toString().endsWith("lwseg"));
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
    public void resultsOfAllSizesArriveWhole(String asked, int rows, int size) throws IOException {
        try (StandInClient client = client()) {
            StandInClient.Result result = client.query("select " + asked);
            assertEquals(result.code(), 0, result.message());
            assertEquals(result.rows().size(), rows);
            for (byte[] row : result.rows()) {
                assertTrue(row.length >= size);
            }
        }
    }

    @Test
    public void atSigtermOpenCursorsAreReadToTheirEnd() throws IOException, InterruptedException {
        try (StandInClient client = client()) {
            StandInClient.Statement s = client.prepare("select rows=300");
            client.open(s);
            program.terminate();
            Program.await("it ends", () -> program.log().contains("SIGTERM"));
            assertEquals(client.fetch(s, 100).rows().size(), 100);
            assertEquals(client.fetch(s, 300).rows().size(), 200);
            assertEquals(program.status(), 0);
        }
    }

    @Test
    public void aHeldFolderEndsTheStartAndAnUnusableOneDoesNot() throws IOException, InterruptedException {
        program.port();
        try (Program second = program("folder = \"" + folder + "\"\n")) {
            assertEquals(second.status(), 2);
            assertTrue(second.log().contains("is held by another process"), second.log());
        }
        program.close();
        program = program("folder = \"" + file + "/below\"\n");
        program.port();
        assertTrue(program.log().contains("results stay in memory"), program.log());
        try (StandInClient client = client()) {
            assertEquals(client.query("select rows=3000").rows().size(), 3000);
        }
    }

    @Test
    public void settingsOfASessionHoldAtWhicheverEngineRunsItsStatement() throws IOException {
        try (StandInClient client = client();
                StandInClient plain = client()) {
            assertEquals(
                    client.query("set sql_mode = 'ANSI', wait_timeout = 10").code(), 0);
            assertEquals(client.query("select @@sql_mode as m").rows().size(), 1);
            assertEquals(ran(), 0, "answered by the front");
            client.query("select rows=1");
            plain.query("select rows=1");
            List<String> said = new ArrayList<>(one.said);
            said.addAll(two.said);
            assertTrue(said.contains("SET SESSION sql_mode='ANSI'"), said.toString());
            assertFalse(said.toString().contains("wait_timeout"), said.toString());
        }
    }

    /**
     * A socket that only listens is no engine; a peer that reads a byte now and then is no reason to wait.
     */
    @Test
    public void aDripOfAReaderHoldsNothing() throws IOException {
        try (StandInClient drip = client();
                StandInClient quick = client()) {
            Socket socket = drip.wire.socket;
            socket.setReceiveBufferSize(4096);
            drip.send(3, "select rows=10000 size=1000");
            for (int i = 0; i < 10; i++) {
                assertTrue(socket.getInputStream().read() >= 0);
                assertEquals(quick.query("select rows=1").rows().size(), 1);
            }
        }
    }
}
