package lineward.app;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import lineward.spool.store.Manifest;
import lineward.spool.store.Segment;
import lineward.spool.store.SpoolFolder;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Lists and verifies the results in a spool folder, even if a process has locked it, and deletes results from
 * a folder that is not locked.
 */
@Command(name = SpoolCommand.NAME, description = SpoolCommand.DESCRIPTION, mixinStandardHelpOptions = true)
final class SpoolCommand implements Runnable {
    static final String NAME = "spool";
    static final String DESCRIPTION = "Lists, verifies or deletes the results in a spool folder.";
    private static final int STATUS_OK = 0;
    private static final int STATUS_CORRUPT = 1;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        String reason = "missing command: ls, verify or drop";
        throw new CommandLine.ParameterException(spec.commandLine(), reason);
    }

    @Command(name = "ls", description = "Lists the complete results and the unusable files.")
    int list(@Parameters(paramLabel = "FOLDER") Path folder) {
        SpoolFolder.Contents contents = read(folder);
        contents.complete().forEach(this::printResult);
        printUnusable(contents);
        return STATUS_OK;
    }

    @Command(name = "verify", description = "Verifies every result; ends with status 1 if any is corrupt.")
    int verify(@Parameters(paramLabel = "FOLDER") Path folder) {
        SpoolFolder.Contents contents = read(folder);
        printUnusable(contents);
        int intact = 0;
        for (Segment.Result result : contents.complete()) {
            Optional<String> fault = findFault(result);
            String state = fault.map(reason -> "spoilt: " + reason).orElse("good");
            print("%s %s%n", fileName(result.segment().path()), state);
            intact += fault.isEmpty() ? 1 : 0;
        }
        int corrupt = contents.complete().size() + contents.unusable().size() - intact;
        print("%d good, %d not%n", intact, corrupt);
        return corrupt == 0 ? STATUS_OK : STATUS_CORRUPT;
    }

    @Command(name = "drop", description = "Deletes results from a folder that no process has locked.")
    int drop(
            @Parameters(paramLabel = "FOLDER") Path folder,
            @Option(names = "--user", description = "only results of this user") String user,
            @Option(names = "--key", description = "only results with this key") String key) {
        if (!Files.isDirectory(folder)) {
            throw ConfigException.unusable(folder + " is not a folder");
        }
        try (SpoolFolder locked = SpoolFolder.acquire(folder)) {
            List<Segment.Result> selected = SpoolFolder.inspect(folder).complete().stream()
                    .filter(result -> matches(result.manifest(), user, key))
                    .toList();
            for (Segment.Result result : selected) {
                Files.deleteIfExists(result.segment().path());
            }
            print("%d dropped from %s%n", selected.size(), locked);
            return STATUS_OK;
        } catch (IOException e) {
            throw ConfigException.unusable(e.getMessage(), e);
        }
    }

    private static SpoolFolder.Contents read(Path folder) {
        try {
            return SpoolFolder.inspect(folder);
        } catch (IOException e) {
            throw ConfigException.unusable(folder + " can't be read", e);
        }
    }

    /** Returns whether a result has this user and this key; null stands for any. */
    private static boolean matches(Manifest manifest, String user, String key) {
        boolean matchesUser = user == null || manifest.user().equals(user);
        boolean matchesKey = key == null || manifest.key().equals(key);
        return matchesUser && matchesKey;
    }

    /** Returns the fault of the first block that can't be read; empty if all blocks can be read. */
    private static Optional<String> findFault(Segment.Result result) {
        for (Segment.Extent block : result.blocks()) {
            try {
                result.segment().read(block);
            } catch (IOException e) {
                return Optional.of("row " + block.firstRow() + ": " + e.getMessage());
            }
        }
        return Optional.empty();
    }

    private void printResult(Segment.Result result) {
        Manifest manifest = result.manifest();
        print(
                "%s user=%s key=%s rows=%d bytes=%d stored=%d blocks=%d created=%s%n",
                fileName(result.segment().path()),
                manifest.user(),
                manifest.key(),
                manifest.rows(),
                manifest.rawBytes(),
                result.fileBytes(),
                result.blocks().size(),
                Instant.ofEpochMilli(manifest.createdMs()));
    }

    private void printUnusable(SpoolFolder.Contents contents) {
        contents.unusable().forEach(file -> print("%s unusable: %s%n", fileName(file.path()), file.reason()));
    }

    private static Path fileName(Path path) {
        return path.getFileName();
    }

    private void print(String format, Object... values) {
        PrintWriter writer = spec.commandLine().getOut();
        writer.printf(format, values);
    }
}
