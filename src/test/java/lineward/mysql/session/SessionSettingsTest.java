package lineward.mysql.session;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.util.Map;
import java.util.Optional;
import lineward.mysql.wire.LocalResult;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** SET statements and queries of variables. */
public class SessionSettingsTest {
    private static final String DRIVER_QUERY =
            "/* driver */SELECT  @@session.auto_increment_increment AS a, @@wait_timeout AS w;";

    @DataProvider
    public Object[][] supported() {
        return new Object[][] {
            {"set sql_mode = ''", Map.of("sql_mode", "''")},
            {
                "SET SESSION sql_mode='A,B', net_write_timeout := 600",
                Map.of("sql_mode", "'A,B'", "net_write_timeout", "600")
            },
            {"set @@session.max_execution_time = 1000;", Map.of("max_execution_time", "1000")},
            {"set @@lc_time_names = \"en_US\"", Map.of("lc_time_names", "\"en_US\"")},
            {"SET NAMES utf8mb4", Map.of()},
            {"set names 'utf8mb4' collate 'utf8mb4_bin'", Map.of("collation_connection", "'utf8mb4_bin'")},
            {"SET character_set_results = NULL", Map.of("character_set_results", "NULL")},
            {"set autocommit=1", Map.of()},
            {"set session wait_timeout = 100", Map.of()},
            {
                "SET SESSION TRANSACTION ISOLATION LEVEL READ COMMITTED",
                Map.of("transaction_isolation", "'READ-COMMITTED'")
            },
            {"set time_zone = '+00:00', autocommit = 1", Map.of("time_zone", "'+00:00'")},
            {
                "set sql_notes=1, sql_mode=concat(@@sql_mode,',ANSI')",
                Map.of(
                        "sql_notes",
                        "1",
                        "sql_mode",
                        "'ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES,NO_ZERO_IN_DATE,NO_ZERO_DATE,"
                                + "ERROR_FOR_DIVISION_BY_ZERO,NO_ENGINE_SUBSTITUTION,ANSI'")
            },
            {"set long_query_time = 0.5", Map.of("long_query_time", "0.5")}
        };
    }

    @Test(dataProvider = "supported")
    public void forwardsSupportedSettingsAsWritten(String text, Map<String, String> forwarded)
            throws UnsupportedSettingException {
        SessionSettings settings = new SessionSettings();
        settings.set(text);
        assertEquals(settings.forEngines(), forwarded);
        settings.reset();
        assertEquals(settings.forEngines(), Map.of());
    }

    @DataProvider
    public Object[][] unsupported() {
        return new Object[][] {
            {"set autocommit=0", "autocommit=0"},
            {"set @a = 1", "a user variable"},
            {"set global sql_mode = ''", "SET global"},
            {"set names latin1", "the character set latin1"},
            {"set password = 'x'", "SET password"},
            {"set sql_mode", "this form of SET"},
            {"set profiling = 1", "SET profiling"},
            {"set", "an empty SET"},
            {"set sql_mode = '', nonsense = 1", "SET nonsense"},
            {"set sql_mode = (select 1)", "this value"},
            {"set sql_mode = '' extra", "this form of SET"},
            {"set sql_mode = '" + "x".repeat(2000) + "'", "a value of sql_mode longer than 1024"}
        };
    }

    @Test(dataProvider = "unsupported")
    public void rejectsAStatementWithAnyUnsupportedSetting(String text, String unsupported) {
        SessionSettings settings = new SessionSettings();
        UnsupportedSettingException e = null;
        try {
            settings.set(text);
        } catch (UnsupportedSettingException thrown) {
            e = thrown;
        }
        assertEquals(e == null ? "accepted" : e.getMessage(), unsupported);
        assertEquals(settings.forEngines(), Map.of());
    }

    @DataProvider
    public Object[][] queries() {
        return new Object[][] {
            {"SELECT @@version_comment LIMIT 1", "[@@version_comment]", "[lineward]"},
            {DRIVER_QUERY, "[a, w]", "[1, 28800]"},
            {"select @@tx_isolation t", "[t]", "[REPEATABLE-READ]"},
            {"select @@sql_mode", "[@@sql_mode]", "[ANSI]"},
            {"select @@no_such_thing", null, null},
            {"select @@version, 1", null, null},
            {"select @@version from t", null, null},
            {"select 1", null, null},
            {"select @@version limit 2", null, null},
            {"select @a", null, null}
        };
    }

    @Test(dataProvider = "queries")
    public void answersQueriesOfVariablesOnly(String text, String labels, String values)
            throws UnsupportedSettingException {
        SessionSettings settings = new SessionSettings();
        settings.set("set sql_mode = 'ANSI'");
        Optional<LocalResult> result = settings.queryVariables(text);
        if (labels == null) {
            assertEquals(result, Optional.empty());
        } else {
            assertEquals(result.orElseThrow().labels().toString(), labels);
            assertEquals(result.orElseThrow().row().toString(), values);
        }
    }

    @Test
    public void changesOnlySettingsThatDiffer() {
        assertEquals(
                SessionSettings.changeStatement(Map.of("a", "1", "b", "2"), Map.of("b", "3")),
                "SET SESSION a=DEFAULT, SESSION b=3");
    }

    @Test
    public void keepsSettingsAfterARejectedStatement() throws UnsupportedSettingException {
        SessionSettings settings = new SessionSettings();
        settings.set("set sql_notes = 1");
        assertThrows(UnsupportedSettingException.class, () -> settings.set("set sql_notes = 1, no_such = 2"));
        assertEquals(settings.forEngines(), Map.of("sql_notes", "1"));
    }
}
