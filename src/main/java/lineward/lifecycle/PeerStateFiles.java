package lineward.lifecycle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.stream.Stream;

/**
 * The directory in which the processes of one front end share their states, one file per process. Used on the
 * event loop; reads and writes block.
 */
final class PeerStateFiles {
    private static final String SUFFIX = ".engines.json";
    private static final String TEMP_SUFFIX = ".new";
    private static final int MAX_FILE_BYTES = 256 * 1024;

    private final Path directory;
    private final String prefix;
    private final Path ownFile;
    private final Path tempFile;

    /**
     * Determines the file names without writing anything.
     *
     * @param name name of this front end, the same in all of its processes
     * @param startedAtMs start time of this process, which distinguishes its file from those of earlier
     *     processes with the same process id
     */
    PeerStateFiles(Path directory, String name, long startedAtMs) {
        this.directory = directory;
        this.prefix = "lineward-" + name.replaceAll("[^A-Za-z0-9._-]", "_") + '-';
        String ownName = prefix + ProcessHandle.current().pid() + '-' + startedAtMs + SUFFIX;
        this.ownFile = directory.resolve(ownName);
        this.tempFile = directory.resolve(ownName + TEMP_SUFFIX);
    }

    Path directory() {
        return directory;
    }

    /** Returns this process's file. */
    Path ownFile() {
        return ownFile;
    }

    /** Replaces this process's file atomically. */
    void write(PeerState state) throws IOException {
        Files.writeString(tempFile, PeerStateCodec.encode(state));
        Files.move(tempFile, ownFile, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Returns the files of the other processes of this front end. */
    List<Path> listPeers() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(this::isPeer).toList();
        }
    }

    private boolean isPeer(Path file) {
        String fileName = file.getFileName().toString();
        return fileName.startsWith(prefix) && fileName.endsWith(SUFFIX) && !file.equals(ownFile);
    }

    /** Reads a file of {@link #listPeers}; returns {@link PeerState#UNUSABLE} if it is too large. */
    PeerState read(Path file) throws IOException {
        if (Files.size(file) > MAX_FILE_BYTES) {
            return PeerState.UNUSABLE;
        }
        return PeerStateCodec.decode(Files.readString(file));
    }

    /** Deletes a file of {@link #listPeers} unless another process has already deleted it. */
    void delete(Path file) throws IOException {
        Files.deleteIfExists(file);
    }

    /** Deletes this process's file. If that fails, another process deletes it once it has expired. */
    void deleteOwnFile() {
        ownFile.toFile().delete();
        tempFile.toFile().delete();
    }
}
