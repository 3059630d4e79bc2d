import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;

/** Runs one case in a temporary folder and ends with its status: 40 held, 41 broken, 42 could not run. */
abstract class Case2 {
    private static final int HELD = 40;
    private static final int BROKEN = 41;
    private static final int NOT_RUN = 42;

    Path root;
    Path folder;
    Record2 record;
    boolean trouble;
    private final AtomicBoolean broken = new AtomicBoolean();

    abstract void play() throws Exception;

    /** Records that the rule was broken. */
    void broken(String format, Object... arguments) {
        broken.set(true);
        record.line("BROKEN: " + format, arguments);
    }

    static void run(Case2 played, String[] args) throws Exception {
        played.root = Path.of(args[0]).toRealPath();
        played.record = new Record2(Path.of(args[1]));
        played.trouble = !"0".equals(System.getenv("TROUBLE"));
        played.folder = Files.createTempDirectory("lineward-case");
        int status = NOT_RUN;
        try {
            played.record.line("trouble: %s", played.trouble);
            played.play();
            status = played.broken.get() ? BROKEN : HELD;
        } catch (Exception | Error e) {
            played.record.line("could not run: %s", e);
            e.printStackTrace();
        } finally {
            deleteFolder(played.folder);
        }
        Runtime.getRuntime().halt(status);
    }

    private static void deleteFolder(Path folder) throws Exception {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
