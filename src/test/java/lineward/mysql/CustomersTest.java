package lineward.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lineward.mysql.StandInEngine.Trouble;
import lineward.testing.Program;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Customers whose sessions share one engine's connections: none finds what another left there. */
public class CustomersTest {
    private static final String PLAIN = "{}";
    private StandInEngine engine;
    private Path file;
    private Program program;

    @BeforeMethod
    public void start() throws IOException {
        engine = new StandInEngine();
        file = Files.createTempFile("mysql", ".toml");
        Files.writeString(
                file,
                "listen = \"127.0.0.1:0\"\n"
                        + "[[user]]\nname = \"office\"\npassword = \"secret\"\n"
                        + "[[class]]\nname = \"all\"\naim-ms = 2000\ndeadline-ms = 9000\n"
                        + "[[engine]]\nname = \"one\"\naddress = \""
                        + engine.address()
                        + "\"\nuser = \"front\"\n");
        program = new Program(Map.of(), "mysql", file.toString());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        program.close();
        engine.close();
        Files.delete(file);
    }

    private StandInClient client() throws IOException {
        return new StandInClient(program.port());
    }

    /** Returns what a customer finds who has set nothing. */
    private StandInEngine.Seen next() throws IOException {
        try (StandInClient client = client()) {
            assertEquals(client.query("select rows=1 of the next").rows().size(), 1);
            return engine.seen.get(engine.seen.size() - 1);
        }
    }

    private void assertNextFindsNothing() throws IOException {
        for (int i = 0; i < 3; i++) {
            assertEquals(next(), new StandInEngine.Seen("select rows=1 of the next", PLAIN, "", ""));
        }
    }

    /** How a customer goes. */
    @DataProvider
    public Object[][] goings() {
        return new Object[][] {{true}, {false}};
    }

    private static void go(StandInClient client, boolean reset) throws IOException {
        if (reset) {
            client.wire.socket.setSoLinger(true, 0);
        }
        client.wire.socket.close();
    }

    @Test(dataProvider = "goings")
    public void aSettingInFlightAsItsClientLeaves(boolean reset) throws Exception {
        CountDownLatch come = new CountDownLatch(1);
        CountDownLatch left = new CountDownLatch(1);
        engine.atSettings = () -> {
            come.countDown();
            try {
                assertTrue(left.await(10, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        };
        try (StandInClient client = client()) {
            assertEquals(client.query("set sql_mode = 'ANSI'").code(), 0);
            client.send(3, "select rows=1 of who left");
            assertTrue(come.await(10, TimeUnit.SECONDS), "the settings are on their way");
            go(client, reset);
            assertNextFindsNothing();
            left.countDown();
            assertNextFindsNothing();
        }
        assertTrue(engine.ran.stream().noneMatch(text -> text.contains("who left")), engine.ran.toString());
    }

    @Test
    public void aSettingThatFailsHalfway() throws IOException {
        try (StandInClient client = client()) {
            assertEquals(
                    client.query("set group_concat_max_len = 5, sql_mode = 'bad_mode'")
                            .code(),
                    0);
            assertEquals(client.query("select rows=1").code(), 1193, "the first half holds at the engine");
            assertNextFindsNothing();
        }
    }

    @Test(dataProvider = "goings")
    public void aStatementThatIsKilledUnderSettings(boolean reset) throws IOException {
        engine.trouble = Trouble.SILENT;
        try (StandInClient client = client()) {
            assertEquals(client.query("set sql_mode = 'ANSI'").code(), 0);
            client.send(3, "select rows=1 of who left");
            Program.await("it runs", () -> !engine.ran.isEmpty());
            go(client, reset);
            Program.await("it is killed", () -> engine.said.stream().anyMatch(s -> s.startsWith("KILL")));
            engine.trouble = Trouble.NONE;
            assertNextFindsNothing();
        }
    }

    @Test
    public void settingsAndSchemaOfOneWhoStays() throws IOException {
        try (StandInClient client = client()) {
            assertEquals(client.query("set sql_mode = 'ANSI'").code(), 0);
            assertEquals(client.query("use sales").code(), 0);
            assertEquals(client.query("select rows=1").code(), 0);
            assertNextFindsNothing();
            assertEquals(client.query("select rows=1").code(), 0);
            StandInEngine.Seen own = engine.seen.get(engine.seen.size() - 1);
            assertEquals(own, new StandInEngine.Seen("select rows=1", "{sql_mode='ANSI'}", "sales", ""));
        }
    }

    /** An engine reads a statement by the settings under which it is prepared. */
    @Test
    public void aStatementPreparedUnderOthersSettings() throws IOException {
        try (StandInClient first = client();
                StandInClient second = client()) {
            assertEquals(first.query("set sql_mode = 'ANSI'").code(), 0);
            StandInClient.Statement ansi = first.prepare("select rows=1 of \"a\"");
            StandInClient.Statement plain = second.prepare("select rows=1 of \"a\"");
            for (int i = 0; i < 3; i++) {
                assertEquals(first.execute(ansi, true).rows().size(), 1);
                assertEquals(engine.seen.get(engine.seen.size() - 1).settings(), "{sql_mode='ANSI'}");
                assertEquals(second.execute(plain, true).rows().size(), 1);
                assertEquals(engine.seen.get(engine.seen.size() - 1).settings(), PLAIN);
            }
        }
    }

    /** What may change a session unseen, as texts and prepared. */
    @DataProvider
    public Object[][] traces() {
        return new Object[][] {
            {"call p()"},
            {"/*!50000 set sql_mode = 'ANSI' */"},
            {"/*M! set @a = 1 */"},
            {"select rows=1 /*!, @a := 1 */"},
            {"create or replace temporary table t (a int)"},
            {"flush tables with read lock"},
            {"do f('opens a transaction')"}
        };
    }

    @Test(dataProvider = "traces")
    public void whatLeavesTracesEndsItsConnection(String text) throws IOException {
        try (StandInClient client = client()) {
            assertEquals(client.query(text).code(), 0);
            assertNextFindsNothing();
            StandInClient.Statement statement = client.prepare(text);
            assertEquals(client.execute(statement, true).code(), 0);
            assertNextFindsNothing();
            Program.await("no connection with traces is left", () -> engine.connections() == 1);
        }
    }

    /** What would tell of the statement before, whosever it was. */
    @DataProvider
    public Object[][] questions() {
        return new Object[][] {
            {"show count(*) warnings"},
            {"get diagnostics @a = number"},
            {"select @@last_insert_id"},
            {"select @@session.warning_count, 1"},
            {"select @@local.identity"},
            {"select @a"},
            {"select found_rows()"},
            {"select row_count()"}
        };
    }

    @Test(dataProvider = "questions")
    public void nobodyIsToldOfOthersStatements(String text) throws IOException {
        try (StandInClient client = client()) {
            assertEquals(client.query(text).code(), 1235);
            assertEquals(client.query("show warnings").rows().size(), 0);
            assertEquals(engine.ran, List.of());
        }
    }
}
