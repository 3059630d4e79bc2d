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
 * A folder of segments, locked by one process at a time. The operating system releases the lock when the
 * process ends, even after a crash. All methods do blocking I/O.
 */
public final class SpoolFolder implements AutoCloseable {
    /** The suffix of the names of segments; files with other names are never changed. */
    static final String SEGMENT_SUFFIX = ".lwseg";

    private static final String LOCK_NAME = "lineward-spool.lock";

    /**
     * The segments in a folder.
     *
     * @param complete complete results, in arbitrary order
     * @param unusable segments that can't be used
     */
    public record Contents(List<Segment.Result> complete, List<UnusableSegment> unusable) {}

    /**
     * A segment that can't be used.
     *
     * @param reason description for logs and operators
     */
    public record UnusableSegment(Path path, SegmentFault fault, String reason) {}

    /** Thrown if the folder is already locked. */
    public static final class LockedException extends IOException {
        private static final long serialVersionUID = 1L;

        LockedException(String message) {
            super(message);
        }
    }

    private final Path folder;
    /** Holds the lock until it is closed. */
    private final FileChannel lockFile;

    private SpoolFolder(Path folder, FileChannel lockFile) {
        this.folder = folder;
        this.lockFile = lockFile;
    }

    /**
     * Locks the folder, and creates it if it does not exist.
     *
     * @throws LockedException if another process, or this one, has locked it
     * @throws IOException with a single-line message if the folder can't be used
     */
    public static SpoolFolder acquire(Path folder) throws IOException {
        createFolder(folder);
        FileChannel lockFile = openLockFile(folder);
        if (!acquireLock(lockFile)) {
            lockFile.close();
            throw new LockedException("spool folder " + folder + " is held by another process");
        }
        return new SpoolFolder(folder, lockFile);
    }

    private static void createFolder(Path folder) throws IOException {
        try {
            Files.createDirectories(folder);
        } catch (IOException e) {
            throw new IOException("spool folder " + folder + " can't be created", e);
        }
    }

    private static FileChannel openLockFile(Path folder) throws IOException {
        Path path = folder.resolve(LOCK_NAME);
        try {
            return FileChannel.open(path, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        } catch (IOException e) {
            throw new IOException("spool folder " + folder + " can't be written", e);
        }
    }

    private static boolean acquireLock(FileChannel lockFile) throws IOException {
        try {
            FileLock lock = lockFile.tryLock();
            return lock != null;
        } catch (OverlappingFileLockException e) {
            // This process already holds the lock.
            return false;
        }
    }

    /**
     * Returns the segments, and deletes unusable ones unless their format version is unknown; other files are
     * not changed.
     */
    public Contents recover() throws IOException {
        Contents contents = inspect(folder);
        for (UnusableSegment segment : contents.unusable()) {
            if (segment.fault().isDeletedByRecovery()) {
                Files.deleteIfExists(segment.path());
            }
        }
        return contents;
    }

    /** Returns the segments in a folder, which need not be locked, and changes nothing. */
    public static Contents inspect(Path folder) throws IOException {
        List<Segment.Result> complete = new ArrayList<>();
        List<UnusableSegment> unusable = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "*" + SEGMENT_SUFFIX)) {
            for (Path file : files) {
                try {
                    complete.add(Segment.open(file));
                } catch (UnusableSegmentException e) {
                    unusable.add(new UnusableSegment(file, e.fault(), e.getMessage()));
                } catch (IOException | RuntimeException e) {
                    // One unreadable segment must not prevent the start, or the recovery of other results.
                    String reason = "it can't be read: " + e;
                    unusable.add(new UnusableSegment(file, SegmentFault.UNREADABLE, reason));
                }
            }
        } catch (NotDirectoryException e) {
            throw new IOException(folder + " is not a folder", e);
        }
        return new Contents(complete, unusable);
    }

    /** Creates a new segment and its file. */
    Segment create(long createdMs) throws IOException {
        Segment segment = new Segment(folder.resolve(UUID.randomUUID() + SEGMENT_SUFFIX));
        segment.create(createdMs);
        return segment;
    }

    @Override
    public String toString() {
        return folder.toString();
    }

    @Override
    public void close() throws IOException {
        lockFile.close();
    }
}
