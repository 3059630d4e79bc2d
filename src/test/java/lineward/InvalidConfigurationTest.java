package lineward;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import lineward.testing.Program;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** An invalid configuration ends the start with exit status 2 and a single line that names the error. */
public class InvalidConfigurationTest {
    private static final String VALID_FIELDS =
            "\"listen\":\"127.0.0.1:0\",\"journal\":\"127.0.0.1:1\",\"known\":{\"pos\":0,\"entries\":[]}";

    @DataProvider
    public Object[][] invalidConfigurations() {
        return new Object[][] {
            {"serve", "{", "not JSON"},
            {"serve", "{}", "no settings"},
            {"serve", "{\"settings\":{}}", "listen is not an address"},
            {"serve", "{" + VALID_FIELDS + ",\"settings\":{}}", "classes"},
            {"serve", "{" + VALID_FIELDS + ",\"settings\":{},\"limits\":{\"sockets\":-1}}", "sockets is no"},
            {"mysql", "listen = 5 5", "not TOML"},
            {"mysql", "", "nothing to serve"},
            {"mysql", "listen = \"127.0.0.1:0\"", "needs a user"},
            {"mysql", "[[engine]]\nname = \"a\"\naddress = \"here\"", "not an address"},
            {"dance", "", "--help"},
            {"mysql", "[spool]\nfiles = 3", "folder"},
            {"mysql", "[spool]\nmemory-mb = 0", "memory-mb"},
            {"mysql", "speed = 9", "speed"}
        };
    }

    @Test(dataProvider = "invalidConfigurations")
    public void invalidConfigurationEndsTheStart(String command, String content, String message)
            throws IOException, InterruptedException {
        Path file = Files.createTempFile("bad", ".conf");
        Files.writeString(file, content);
        boolean takesFile = command.equals("mysql");
        String[] arguments = takesFile ? new String[] {command, file.toString()} : new String[] {command};
        try (Program program = new Program(Map.of("RELAY_CONFIG", file.toString()), arguments)) {
            assertEquals(program.awaitExitStatus(), 2);
            Program.await("the error is logged", () -> program.log().contains(message));
            assertEquals(program.log().lines().count(), 1, program.log());
        }
        Files.delete(file);
    }
}
