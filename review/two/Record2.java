import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Appends to record.txt: what was sent, answered and run, with the milliseconds since the start of the case. */
final class Record2 {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record2(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND), true);
    }

    long nowMs() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void line(String format, Object... arguments) {
        String text = String.format(format, arguments);
        String shown = text.length() > 300 ? text.substring(0, 300) + "..." : text;
        out.println(String.format("%6d ms  %s", nowMs(), shown));
    }
}
