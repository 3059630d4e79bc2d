package lineward.spool.store;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NotDirectoryException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;

/**
 * A folder of segments, held by one process at a time. Its lock is the file system's: a process that is
 * killed lets go of it, and one that ends hands it to the next.
 */
public final class SpoolFolder implements AutoCloseable {
    /** The ending of a segment's name; nothing else in the folder is ever touched. */
    static final String ENDING = ".lwseg";

    private static final String LOCK = "lineward-spool.lock";

    /** What became of the folder's files at the start. */
    public record Recovered(List<Segment.Found> whole, List<Spoilt> dropped) {}

    /** A segment that can't be used, and why. */
    public record Spoilt(Path path, String why) {}

    /** Another process holds the folder. */
    public static final class HeldException extends IOException {
        private static final long serialVersionUID = 1L;

        HeldException(String message) {
            super(message);
        }
    }

    private final Path folder;
    private final FileChannel lock;

    private SpoolFolder(Path folder, FileChannel lock) {
        this.folder = folder;
        this.lock = lock;
    }

    /**
     * Takes the folder, and makes it where it is not there.
     *
     * @throws IOException with one plain line if it can't be used or another process holds it
     */
    public static SpoolFolder take(Path folder) throws IOException {
        try {
            Files.createDirectories(folder);
        } catch (IOException e) {
            throw new IOException("spool folder " + folder + " can't be made", e);
        }
        FileChannel channel;
        try {
            channel = FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        } catch (IOException e) {
            throw new IOException("spool folder " + folder + " can't be written", e);
        }
        FileLock held;
        try {
            held = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            held = null;
        }
        if (held == null) {
            channel.close();
            throw new HeldException("spool folder " + folder + " is held by another process");
        }
        return new SpoolFolder(folder, channel);
    }

    /** Takes whole results in and deletes segments that are not whole; other files stay as they are. */
    public Recovered recover() throws IOException {
        Recovered seen = look(folder);
        for (Spoilt spoilt : seen.dropped()) {
            // A version that is not known here may be a later program's, which would miss it.
            if (!spoilt.why().startsWith("its version")) {
                Files.deleteIfExists(spoilt.path());
            }
        }
        return seen;
    }

    /** Looks at a folder and changes nothing; who holds it does not matter. */
    public static Recovered look(Path folder) throws IOException {
        List<Segment.Found> whole = new ArrayList<>();
        List<Spoilt> dropped = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "*" + ENDING)) {
            for (Path file : files) {
                try {
                    whole.add(Segment.open(file));
                } catch (IOException | RuntimeException e) {
                    // Whatever the bytes are, they end neither the start nor another result.
                    dropped.add(new Spoilt(
                            file, e instanceof CorruptSegmentException ? e.getMessage() : "it can't be read: " + e));
                }
            }
        } catch (NotDirectoryException e) {
            throw new IOException(folder + " is no folder", e);
        }
        return new Recovered(whole, dropped);
    }

    /** Returns a new segment, with its file. */
    Segment create(long createdMs) throws IOException {
        Segment segment = new Segment(folder.resolve(UUID.randomUUID() + ENDING));
        segment.create(createdMs);
        return segment;
    }

    @Override
    public String toString() {
        return folder.toString();
    }

    @Override
    public void close() throws IOException {
        lock.close();
    }
}
