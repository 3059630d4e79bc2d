package lineward.mysql;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import lineward.testing.Program;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/**
 * Starts the program before each test with a file-backed spool and two test engines, to each of which it may
 * open two connections.
 */
public abstract class SpoolProgramFixture {
    TestingMysqlEngine one;
    TestingMysqlEngine two;
    Path spoolFolder;
    Program program;
    Path configFile;

    @BeforeMethod
    public void start() throws IOException {
        one = new TestingMysqlEngine();
        two = new TestingMysqlEngine();
        spoolFolder = Files.createTempDirectory("spooled");
        configFile = Files.createTempFile("mysql", ".toml");
        program = program("memory-mb = 64\nfolder = \"" + spoolFolder + "\"\nlease-s = 2\n");
    }

    /** Starts the program with these lines in the spool section of its configuration. */
    Program program(String spoolSettings) throws IOException {
        StringBuilder config = new StringBuilder("listen = \"127.0.0.1:0\"\n[limits]\nclients = 600\n"
                + "connections-per-engine = 2\n[spool]\n" + spoolSettings
                + "[[user]]\nname = \"office\"\npassword = \"secret\"\n"
                + "[[user]]\nname = \"other\"\npassword = \"secret\"\n"
                + "[[class]]\nname = \"all\"\naim-ms = 3000\ndeadline-ms = 9000\n");
        for (TestingMysqlEngine engine : List.of(one, two)) {
            config.append("[[engine]]\nname = \"")
                    .append(engine == one ? "one" : "two")
                    .append("\"\naddress = \"")
                    .append(engine.address())
                    .append("\"\nuser = \"front\"\n");
        }
        Files.writeString(configFile, config);
        return new Program(Map.of(), "mysql", configFile.toString());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        program.close();
        one.close();
        two.close();
        Files.delete(configFile);
        try (Stream<Path> files = Files.walk(spoolFolder)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(path -> path.toFile().delete());
        }
    }

    TestingMysqlClient client() throws IOException {
        return new TestingMysqlClient(program.port());
    }

    TestingMysqlClient client(String user) throws IOException {
        return new TestingMysqlClient(program.port(), "caching_sha2_password", user, "secret", null);
    }

    /** Returns the number of statements that the engines have executed. */
    int executionCount() {
        return one.executedTexts.size() + two.executedTexts.size();
    }
}
