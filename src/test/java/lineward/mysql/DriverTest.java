package lineward.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.Map;
import lineward.testing.Program;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The MySQL and MariaDB JDBC drivers with common options, against a test engine. */
public class DriverTest {
    private TestingMysqlEngine engine;
    private Path configFile;
    private Program program;

    @BeforeClass
    public void start() throws IOException {
        engine = new TestingMysqlEngine();
        configFile = Files.createTempFile("mysql", ".toml");
        Files.writeString(
                configFile,
                "listen = \"127.0.0.1:0\"\n[[user]]\nname = \"office\"\npassword = \"secret\"\n"
                        + "[[class]]\nname = \"all\"\ndeadline-ms = 9000\n"
                        + "[[engine]]\nname = \"one\"\naddress = \""
                        + engine.address() + "\"\nuser = \"front\"\n");
        program = new Program(Map.of(), "mysql", configFile.toString());
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws IOException {
        program.close();
        engine.close();
        Files.delete(configFile);
    }

    @DataProvider
    public Object[][] drivers() {
        return new Object[][] {
            {"jdbc:mysql", ""},
            {"jdbc:mysql", "useServerPrepStmts=true"},
            {"jdbc:mysql", "useServerPrepStmts=true&useCursorFetch=true"},
            {"jdbc:mysql", "useCursorFetch=true&defaultFetchSize=100"},
            {"jdbc:mariadb", ""},
            {"jdbc:mariadb", "useServerPrepStmts=true"}
        };
    }

    private Connection connect(String scheme, String options) throws SQLException {
        return DriverManager.getConnection(
                scheme + "://127.0.0.1:" + program.port() + "/sales?" + options, "office", "secret");
    }

    @Test(dataProvider = "drivers")
    public void connectsQueriesAndReportsErrors(String scheme, String options) throws SQLException {
        try (Connection connection = connect(scheme, options);
                Statement statement = connection.createStatement()) {
            assertTrue(connection.isValid(2));
            try (ResultSet rows = statement.executeQuery("select rows=5")) {
                int count = 0;
                while (rows.next()) {
                    assertEquals(rows.getString(1), "row " + count + " of select rows=5");
                    count++;
                }
                assertEquals(count, 5);
            }
            assertThrows(SQLException.class, () -> statement.executeQuery("select syntax"));
            assertEquals(statement.executeUpdate("update t set a = 1"), 0);
        }
    }

    @Test(dataProvider = "drivers")
    public void executesPreparedStatements(String scheme, String options) throws SQLException {
        try (Connection connection = connect(scheme, options);
                PreparedStatement statement = connection.prepareStatement("select rows=3 where a = ?")) {
            for (int i = 0; i < 3; i++) {
                statement.setString(1, "value " + i);
                try (ResultSet rows = statement.executeQuery()) {
                    int count = 0;
                    while (rows.next()) {
                        count++;
                    }
                    assertEquals(count, 3);
                }
            }
        }
    }

    @Test(dataProvider = "drivers")
    public void readsPagesWithAFetchSize(String scheme, String options) throws SQLException {
        try (Connection connection = connect(scheme, options);
                PreparedStatement statement = connection.prepareStatement("select rows=2500 size=100")) {
            statement.setFetchSize(200);
            try (ResultSet rows = statement.executeQuery()) {
                int count = 0;
                while (rows.next()) {
                    assertTrue(rows.getString(1).startsWith("row " + count + " of"));
                    count++;
                }
                assertEquals(count, 2500);
            }
            try (ResultSet partlyRead = statement.executeQuery()) {
                assertTrue(partlyRead.next());
            }
            try (ResultSet rows = connection.createStatement().executeQuery("select rows=1")) {
                assertTrue(rows.next());
            }
        }
    }
}
