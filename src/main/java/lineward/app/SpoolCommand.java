package lineward.app;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import lineward.spool.store.Manifest;
import lineward.spool.store.Segment;
import lineward.spool.store.SpoolFolder;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Looks into a spool folder, while a process uses it or not, and drops results from one that none uses. */
@Command(name = "spool", description = "Works on a folder of spooled results.", mixinStandardHelpOptions = true)
final class SpoolCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing: ls, verify or drop");
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private static SpoolFolder.Recovered look(Path folder) {
        try {
            return SpoolFolder.look(folder);
        } catch (IOException e) {
            throw new ConfigException(folder + " can't be read");
        }
    }

    @Command(name = "ls", description = "Lists the results that are whole, and what can't be used.")
    int list(@Parameters(paramLabel = "FOLDER") Path folder) {
        SpoolFolder.Recovered seen = look(folder);
        for (Segment.Found f : seen.whole()) {
            Manifest m = f.manifest();
            out().printf(
                            "%s user=%s key=%s rows=%d bytes=%d stored=%d blocks=%d created=%s%n",
                            f.segment().path().getFileName(),
                            m.user(),
                            m.key(),
                            m.rows(),
                            m.rawBytes(),
                            f.bytes(),
                            f.blocks().size(),
                            Instant.ofEpochMilli(m.createdMs()));
        }
        seen.dropped().forEach(d -> out().printf("%s unusable: %s%n", d.path().getFileName(), d.why()));
        return 0;
    }

    @Command(name = "verify", description = "Reads every block and checks it; status 1 if one is spoilt.")
    int verify(@Parameters(paramLabel = "FOLDER") Path folder) {
        SpoolFolder.Recovered seen = look(folder);
        int spoilt = seen.dropped().size();
        seen.dropped().forEach(d -> out().printf("%s unusable: %s%n", d.path().getFileName(), d.why()));
        for (Segment.Found f : seen.whole()) {
            String fault = fault(f);
            spoilt += fault == null ? 0 : 1;
            out().printf("%s %s%n", f.segment().path().getFileName(), fault == null ? "good" : "spoilt: " + fault);
        }
        out().printf("%d good, %d not%n", seen.whole().size() + seen.dropped().size() - spoilt, spoilt);
        return spoilt == 0 ? 0 : 1;
    }

    private static String fault(Segment.Found found) {
        for (Segment.Place place : found.blocks()) {
            try {
                found.segment().read(place);
            } catch (IOException e) {
                return "row " + place.firstRow() + ": " + e.getMessage();
            }
        }
        return null;
    }

    @Command(name = "drop", description = "Deletes results from a folder that no process holds.")
    int drop(
            @Parameters(paramLabel = "FOLDER") Path folder,
            @Option(names = "--user", description = "only this user's") String user,
            @Option(names = "--key", description = "only under this key") String key) {
        if (!Files.isDirectory(folder)) {
            throw new ConfigException(folder + " is no folder");
        }
        try (SpoolFolder held = SpoolFolder.take(folder)) {
            List<Segment.Found> some = SpoolFolder.look(folder).whole().stream()
                    .filter(f -> user == null || f.manifest().user().equals(user))
                    .filter(f -> key == null || f.manifest().key().equals(key))
                    .toList();
            for (Segment.Found f : some) {
                Files.deleteIfExists(f.segment().path());
            }
            out().printf("%d dropped from %s%n", some.size(), held);
            return 0;
        } catch (IOException e) {
            throw new ConfigException(e.getMessage());
        }
    }
}
