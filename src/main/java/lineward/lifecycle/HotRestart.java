package lineward.lifecycle;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What operators said of engines, kept for the process that takes over, and told to the one that serves yet.
 * Each process writes a file of its own and reads those of the others: of two words on one engine the later
 * holds. A file that can't be read or that nobody has written lately is passed over. Runs on the event loop.
 */
public final class HotRestart {
    /** Hears what holds now. */
    public interface Listener {
        /** That engine is held out since then, or used again since then. */
        void heldOut(String engine, boolean out, double since);

        /** The part of this front end's work that falls to this process from now on. */
        void part(double part);
    }

    private record Word(boolean out, double since) {}

    private static final Logger LOG = LoggerFactory.getLogger(HotRestart.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String ENDING = ".engines.json";
    /** A process that serves writes its file anew so often. */
    static final int BEAT_MS = 500;
    /** A file this old is that of a process that ended. */
    private static final double ALIVE_MS = 3_000;
    /** What an ended process has left counts for so long, and is deleted then. */
    private static final double LEFT_MS = 10_000;
    /** An engine called back is warm again long before. */
    private static final double FORGET_MS = 60_000;
    /** Clocks of two processes lie so far apart at most. */
    private static final double SKEW_MS = 1_000;

    private static final int LARGEST = 256 * 1024;

    private final Path directory;
    private final String prefix;
    private final Path own;
    private final DoubleSupplier clock;
    private final Listener listener;
    private final Map<String, Word> words = new TreeMap<>();
    private double part = 1;
    private boolean troubled;
    private boolean left;

    /**
     * @param directory shared by the processes of an upgrade alone; null: nothing is handed over
     * @param name of this front end, the same for the process that takes over
     * @param clock Unix milliseconds
     */
    public HotRestart(Path directory, String name, DoubleSupplier clock, Listener listener) {
        this.directory = directory;
        this.prefix = "lineward-" + name.replaceAll("[^A-Za-z0-9._-]", "_") + '-';
        this.own = directory == null
                ? null
                : directory.resolve(
                        prefix + ProcessHandle.current().pid() + '-' + Math.round(clock.getAsDouble()) + ENDING);
        this.clock = clock;
        this.listener = listener;
    }

    /** Returns whether that engine is held out. */
    public boolean isOut(String engine) {
        return words.containsKey(engine) && words.get(engine).out();
    }

    /** An operator has spoken: it holds here, and stands in the file when this returns. */
    public void say(String engine, boolean out) {
        hear(engine, new Word(out, clock.getAsDouble()));
        write();
    }

    private void hear(String engine, Word word) {
        Word old = words.get(engine);
        if (old == null || old.since() < word.since()) {
            words.put(engine, word);
            if (old == null || old.out() != word.out()) {
                LOG.info("query engine {} {}", engine, word.out() ? "is held out" : "is used again");
                listener.heldOut(engine, word.out(), word.since());
            }
        }
    }

    /** Writes this process's file, by which others also know that it lives. */
    public void write() {
        if (own == null || left) {
            return;
        }
        double now = clock.getAsDouble();
        words.values().removeIf(w -> !w.out() && w.since() < now - FORGET_MS);
        ObjectNode root = JSON.createObjectNode().put("at", now);
        ObjectNode engines = root.putObject("engines");
        words.forEach(
                (engine, w) -> engines.putObject(engine).put("out", w.out()).put("since", w.since()));
        Path draft = own.resolveSibling(own.getFileName() + ".new");
        try {
            Files.writeString(draft, root.toString());
            Files.move(draft, own, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
            troubled = false;
        } catch (IOException e) {
            tell("what operators said is not kept for an upgrade: " + e);
        }
    }

    /** Reads what other processes of this front end have written. */
    public void look() {
        if (own == null) {
            return;
        }
        int others = 0;
        try (Stream<Path> files = Files.list(directory)) {
            for (Path file : files.filter(this::isAnothers).toList()) {
                others += read(file) ? 1 : 0;
            }
        } catch (IOException e) {
            tell("can't see other processes: " + e);
        }
        double now = 1.0 / (1 + others);
        if (now != part) {
            part = now;
            LOG.info("part of this front end's work: {}", part);
            listener.part(part);
        }
    }

    private boolean isAnothers(Path file) {
        String name = file.getFileName().toString();
        return name.startsWith(prefix) && name.endsWith(ENDING) && !file.equals(own);
    }

    /** Returns whether its process lives. */
    private boolean read(Path file) {
        try {
            JsonNode root = Files.size(file) > LARGEST ? null : JSON.readTree(Files.readString(file));
            double age = Math.abs(
                    clock.getAsDouble() - (root == null ? 0 : root.path("at").asDouble(0)));
            if (age > LEFT_MS) {
                Files.deleteIfExists(file);
                return false;
            }
            for (Map.Entry<String, JsonNode> e : root.path("engines").properties()) {
                JsonNode word = e.getValue();
                // A word from the future would hold against every later one.
                if (word.path("out").isBoolean()
                        && word.path("since").isNumber()
                        && word.get("since").asDouble() < clock.getAsDouble() + SKEW_MS) {
                    hear(
                            e.getKey(),
                            new Word(
                                    word.get("out").asBoolean(),
                                    word.get("since").asDouble()));
                }
            }
            return age < ALIVE_MS;
        } catch (IOException e) {
            tell(file.getFileName() + " is passed over: " + e.getMessage());
            return false;
        }
    }

    /** This process ends: who took over has read what stands here. */
    public void leave() {
        left = true;
        if (own != null) {
            List.of(own, own.resolveSibling(own.getFileName() + ".new"))
                    .forEach(f -> f.toFile().delete());
        }
    }

    /** One line for a row of failures. */
    private void tell(String trouble) {
        if (!troubled) {
            troubled = true;
            LOG.warn("{}", trouble);
        }
    }
}
