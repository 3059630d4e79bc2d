package peatwick;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The limits on the size of the decision module and on the length of lines. */
class StyleTest {

    @Test
    void theDecisionModuleIsShortEnoughToRead() throws IOException {
        List<String> lines = Files.readAllLines(Path.of("src/main/java/peatwick/Control.java"));
        assertThat(lines.stream().filter(l -> !l.isBlank()).count()).isLessThanOrEqualTo(1070);
    }

    @Test
    void linesAreShortEnoughToRead() throws IOException {
        try (Stream<Path> files = Files.walk(Path.of("src"))) {
            for (Path file : files.filter(f -> f.toString().endsWith(".java")).toList()) {
                assertThat(Files.readAllLines(file)).as(file.toString()).allMatch(l -> l.length() <= 110);
            }
        }
    }
}
