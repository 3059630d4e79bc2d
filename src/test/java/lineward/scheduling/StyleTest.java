package lineward.scheduling;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Checks that the deploy file lists the decision classes, and limits their length and that of lines. */
public class StyleTest {
    private static final int MAX_DECISION_LINES = 300;
    private static final int MAX_COLUMNS = 110;

    @Test
    public void deployFileListsExactlyTheDecisionClasses() throws IOException {
        JsonNode deploy = new TomlMapper().readTree(Files.readString(Path.of("deploy/balancer.toml")));
        Set<String> listed = new TreeSet<>();
        deploy.path("policy").forEach(file -> listed.add(file.asText()));
        assertEquals(listed, decisionFiles());
    }

    private static Set<String> decisionFiles() throws IOException {
        try (Stream<Path> files = Files.list(Path.of("src/main/java/lineward/scheduling/decision"))) {
            return files.map(Path::toString)
                    .filter(file -> file.endsWith(".java") && !file.endsWith("package-info.java"))
                    .collect(Collectors.toCollection(TreeSet::new));
        }
    }

    @Test
    public void decisionClassesAreLimitedInLength() throws IOException {
        for (String file : decisionFiles()) {
            int lines = Files.readAllLines(Path.of(file)).size();
            assertTrue(lines <= MAX_DECISION_LINES, file + ": " + lines + " lines");
        }
    }

    @Test
    public void linesAreLimitedInLength() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("src"))) {
            for (Path file :
                    files.filter(path -> path.toString().endsWith(".java")).toList()) {
                for (String line : Files.readAllLines(file)) {
                    assertTrue(line.length() <= MAX_COLUMNS, file + ": " + line);
                }
            }
        }
    }
}
