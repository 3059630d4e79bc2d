package lineward.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** An error in a configuration file names the file, the key, the value found and the allowed values. */
public class ConfigExceptionTest {
    private static final String ADDRESS_FORM = "HOST:PORT with a port up to 65535";

    private Path file;

    @BeforeMethod
    public void createFile() throws IOException {
        file = Files.createTempFile("config", ".conf");
    }

    @AfterMethod
    public void deleteFile() throws IOException {
        Files.delete(file);
    }

    /** Content of a MySQL file; the key, the value found and the allowed values that the error names. */
    @DataProvider
    public Object[][] invalidMysqlValues() {
        return new Object[][] {
            {"listen = \"here\"", "listen", "\"here\"", ADDRESS_FORM},
            {"listen = \"127.0.0.1:65536\"", "listen", "\"127.0.0.1:65536\"", ADDRESS_FORM},
            {"[[engine]]\naddress = \"a:1\"", "engine[0].name", "nothing", "a non-empty string"},
            {engine("a") + engine("a"), "engine[1].name", "\"a\"", "a unique name for each engine"},
            {engine("a") + "state = \"asleep\"", "engine[0].state", "\"asleep\"", "ready, draining or gone"},
            {
                "[[class]]\nname = \"c\"\nmatch = \"(\"",
                "class[0].match",
                "\"(\"",
                "a regular expression of java.util.regex"
            },
            {"listen = \"127.0.0.1:0\"", "listen", "\"127.0.0.1:0\"", "an address with at least one of each"},
            {"[limits]\nclients = 0", "$.limits.clients", "0", "must have a minimum value of 1"}
        };
    }

    private static String engine(String name) {
        return "[[engine]]\nname = \"" + name + "\"\naddress = \"127.0.0.1:1\"\nuser = \"u\"\n";
    }

    @Test(dataProvider = "invalidMysqlValues")
    public void mysqlValueIsNamed(String toml, String key, String found, String allowed) throws IOException {
        Files.writeString(file, toml);
        MysqlConfigFile mysqlFile = new MysqlConfigFile(file);
        ConfigException error = expectThrows(ConfigException.class, mysqlFile::read);
        assertNames(error, key, found, allowed);
    }

    /** Members of a platform file; the key, the value found and the allowed values that the error names. */
    @DataProvider
    public Object[][] invalidPlatformValues() {
        return new Object[][] {
            {"\"listen\":\"a:x\"", "listen", "\"a:x\"", ADDRESS_FORM},
            {"\"listen\":\"a:1\",\"seed\":\"xyz\"", "seed", "\"xyz\"", "hexadecimal digits"},
            {"\"listen\":\"a:1\",\"limits\":{\"sockets\":0}", "limits.sockets", "0", "an integer above 0"},
            {"\"listen\":\"a:1\"", "journal", "nothing", ADDRESS_FORM}
        };
    }

    @Test(dataProvider = "invalidPlatformValues")
    public void platformValueIsNamed(String json, String key, String found, String allowed) throws Exception {
        Files.writeString(file, "{\"settings\":{}," + json + "}");
        PlatformConfigFile platformFile = new PlatformConfigFile(file.toString());
        ConfigException error = expectThrows(ConfigException.class, platformFile::read);
        assertNames(error, key, found, allowed);
    }

    private void assertNames(ConfigException error, String key, String found, String allowed) {
        assertEquals(error.file(), file.toString());
        assertEquals(error.key(), key);
        assertEquals(error.found(), found);
        assertEquals(error.allowed(), allowed);
        assertEquals(error.getMessage().lines().count(), 1, error.getMessage());
    }

    @Test
    public void passwordIsNeverShown() throws IOException {
        Files.writeString(file, "[[user]]\nname = \"u\"\npassword = 271828");
        ConfigException error = expectThrows(ConfigException.class, () -> new MysqlConfigFile(file).read());
        assertEquals(error.key(), "$.user[0].password");
        assertFalse(error.getMessage().contains("271828"), error.getMessage());
    }

    @Test
    public void valueWithNewlinesIsPrintedOnASingleLine() throws IOException {
        Files.writeString(file, "listen = \"a\\nb\"");
        ConfigException error = expectThrows(ConfigException.class, () -> new MysqlConfigFile(file).read());
        assertEquals(error.getMessage().lines().count(), 1, error.getMessage());
    }

    @Test
    public void missingFileIsRejected() throws IOException {
        Path missing = file.resolveSibling("missing.toml");
        assertThrows(ConfigException.class, () -> new MysqlConfigFile(missing).read());
        assertThrows(ConfigException.class, () -> new PlatformConfigFile(null).read());
    }
}
