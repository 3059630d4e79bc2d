import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;

/** Runs one case in a temporary folder and ends with its status: 0 held, 1 broken, 2 could not run. */
abstract class Case2 {
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
        played.record = new Record2(Path.of(args[1]).resolve("record.txt"));
        played.trouble = !"0".equals(System.getenv("TROUBLE"));
        played.folder = Files.createTempDirectory("lineward-case");
        int status = 2;
        try {
            played.record.line("trouble: %s", played.trouble);
            played.play();
            status = played.broken.get() ? 1 : 0;
        } catch (Exception | Error e) {
            played.record.line("could not run: %s", e);
            e.printStackTrace();
        } finally {
            played.record.line("status %d", status);
            deleteFolder(played.folder);
        }
        System.out.println("status " + status);
        Runtime.getRuntime().halt(status);
    }

    private static void deleteFolder(Path folder) throws Exception {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
