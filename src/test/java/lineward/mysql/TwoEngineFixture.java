package lineward.mysql;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import lineward.testing.Program;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Starts the program with two test engines before each test. */
public abstract class TwoEngineFixture {
    /** Error number of a rejected statement. */
    static final int REJECTED_CODE = 1637;
    /** Error number of a statement that failed and may have been executed. */
    static final int FAILED_CODE = 1317;

    TestingMysqlEngine one;
    TestingMysqlEngine two;
    Program program;
    private Path configFile;

    @BeforeMethod
    public void start() throws IOException {
        TestingMysqlEngine.MAX_RUNNING_COUNT.set(0);
        one = new TestingMysqlEngine();
        two = new TestingMysqlEngine();
        configFile = Files.createTempFile("mysql", ".toml");
        writeConfig("ready", "ready");
        program = new Program(environment(), "mysql", configFile.toString());
    }

    /** Returns the environment variables of the program. */
    Map<String, String> environment() throws IOException {
        return Map.of();
    }

    /** Returns further limits of the configuration. */
    String limits() {
        return "";
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        program.close();
        one.close();
        two.close();
        Files.delete(configFile);
    }

    /** Writes the configuration with these states of the engines. */
    void writeConfig(String stateOfOne, String stateOfTwo) throws IOException {
        StringBuilder text = new StringBuilder("""
            listen = "127.0.0.1:0"
            [limits]
            packet = 100000
            %s
            [[user]]
            name = "office"
            password = "secret"
            [[class]]
            name = "all"
            aim-ms = 300
            deadline-ms = 1500
            """.formatted(limits()));
        addEngine(text, "one", one, stateOfOne);
        addEngine(text, "two", two, stateOfTwo);
        Files.writeString(configFile, text);
    }

    private static void addEngine(StringBuilder text, String name, TestingMysqlEngine engine, String state) {
        text.append("[[engine]]\nname = \"")
                .append(name)
                .append("\"\naddress = \"")
                .append(engine.address())
                .append("\"\nuser = \"front\"\nstate = \"")
                .append(state)
                .append("\"\n");
    }

    TestingMysqlClient client() throws IOException {
        return new TestingMysqlClient(program.port());
    }

    /** Returns how often the engines have executed the statement. */
    int executionCount(String text) {
        return (int) (one.executedTexts.stream().filter(text::equals).count()
                + two.executedTexts.stream().filter(text::equals).count());
    }
}
