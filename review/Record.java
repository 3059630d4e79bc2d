import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, with the milliseconds since the start. */
final class Record {
    private static final long START = System.nanoTime();
    private static PrintWriter out;

    private Record() {}

    static synchronized void open(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static synchronized void line(String text) {
        out.println(String.format("%7d %s", now(), text));
        out.flush();
    }

    /** Writes a line to the record and to standard output. */
    static void say(String text) {
        line(text);
        System.out.println(text);
    }
}
