package lineward.testing;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.stream.Collectors;

/** The command in {@code deploy/balancer.toml} by which the platform runs the program. */
public final class RunCommand {
    private static final Path DEPLOY_FILE = Path.of("deploy", "balancer.toml");
    private static final String KEY = "run = ";
    /** Options of the class archive, which the tests' class path does not match. */
    private static final String ARCHIVE_OPTIONS = "-Xshare:.*|-XX:SharedArchiveFile=.*";

    private static final String OPTIONS_LINE = "Picked up JAVA_TOOL_OPTIONS";

    private RunCommand() {}

    /** Returns the log of a program in this environment, without the line that states its options. */
    public static String logWithoutOptions(Program program) {
        return program.log()
                .lines()
                .filter(line -> !line.startsWith(OPTIONS_LINE))
                .collect(Collectors.joining("\n"));
    }

    /** Returns an environment in which the program has the memory and other JVM options of the command. */
    public static Map<String, String> environment() throws IOException {
        String command = Files.readAllLines(DEPLOY_FILE).stream()
                .filter(line -> line.startsWith(KEY))
                .findFirst()
                .orElseThrow();
        String options = Arrays.stream(command.split(" "))
                .filter(word -> word.startsWith("-X") || word.startsWith("-D"))
                .filter(option -> !option.matches(ARCHIVE_OPTIONS))
                .collect(Collectors.joining(" "));
        return Map.of("JAVA_TOOL_OPTIONS", options);
    }
}
