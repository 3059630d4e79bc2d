package lineward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that the documentation refers only to files, classes and members that exist. */
public class DocumentationTest {
    private static final Pattern LINK = Pattern.compile("\\]\\(([^)#\\s]+)(?:#[^)]*)?\\)");
    private static final String PACKAGES = "(?:[a-z]+\\.)*";
    private static final String TYPES = "((?:[A-Z]+[a-z]\\w*)(?:\\.[A-Z]\\w*)*)";
    private static final String MEMBER = "(?:\\.([a-zA-Z]\\w*))?(?:\\(\\))?";
    /** A class name, optionally with its package and a member: `core.Coordinator.admit`. */
    private static final Pattern CLASS_NAME = Pattern.compile("`" + PACKAGES + TYPES + MEMBER + "`");

    private static final Pattern DECLARATION = Pattern.compile("\\b(?:class|interface|record|enum) (\\w+)");

    /** The text of the files that declare a type, by the name of the type. */
    private final Map<String, String> sourceByType = new HashMap<>();

    @BeforeClass
    public void readSources() throws IOException {
        for (String root : List.of("src", "example")) {
            try (Stream<Path> files = Files.walk(Path.of(root))) {
                for (Path file : files.filter(DocumentationTest::isJava).toList()) {
                    String source = Files.readString(file);
                    DECLARATION
                            .matcher(source)
                            .results()
                            .forEach(match -> sourceByType.merge(match.group(1), source, String::concat));
                }
            }
        }
    }

    private static boolean isJava(Path file) {
        return file.toString().endsWith(".java");
    }

    @DataProvider
    public Object[][] pages() throws IOException {
        List<Path> pages = new ArrayList<>(
                List.of(Path.of("README.md"), Path.of("CONTRIBUTING.md"), Path.of("example/README.md")));
        try (Stream<Path> docs = Files.walk(Path.of("docs"))) {
            docs.filter(path -> path.toString().endsWith(".md")).sorted().forEach(pages::add);
        }
        return pages.stream().map(page -> new Object[] {page}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "pages")
    public void linksLeadToFiles(Path page) throws IOException {
        List<String> missing = matches(LINK, page).stream()
                .map(match -> match.group(1))
                .filter(link -> !link.startsWith("http"))
                .filter(link -> !Files.exists(page.resolveSibling(link)))
                .toList();
        assertEquals(missing, List.of());
    }

    @Test(dataProvider = "pages")
    public void namedClassesAndMembersExist(Path page) throws IOException {
        List<String> unknown = matches(CLASS_NAME, page).stream()
                .filter(match -> !exists(match))
                .map(MatchResult::group)
                .toList();
        assertEquals(unknown, List.of());
    }

    private boolean exists(MatchResult match) {
        String[] types = match.group(1).split("\\.");
        String source = sourceByType.get(types[0]);
        return source != null
                && Stream.of(types).allMatch(type -> contains(source, type))
                && (match.group(2) == null || contains(source, match.group(2)));
    }

    private static boolean contains(String source, String word) {
        return Pattern.compile("\\b" + Pattern.quote(word) + "\\b")
                .matcher(source)
                .find();
    }

    private static MatchResult matchName(String text) {
        return CLASS_NAME.matcher(text).results().findFirst().orElseThrow();
    }

    private static List<MatchResult> matches(Pattern pattern, Path page) throws IOException {
        return pattern.matcher(Files.readString(page)).results().toList();
    }

    @Test
    public void detectsNamesThatDoNotExist() {
        assertTrue(exists(matchName("`core.Coordinator.tick`")));
        assertFalse(exists(matchName("`core.NoSuchClass`")));
        assertFalse(exists(matchName("`Coordinator.noSuchMember`")));
    }
}
