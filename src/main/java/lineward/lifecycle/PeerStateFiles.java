package lineward.lifecycle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.stream.Stream;

/** The directory in which the processes of one front end share their states, a file for each process. */
final class PeerStateFiles {
    private static final String SUFFIX = ".engines.json";
    private static final String DRAFT_SUFFIX = ".new";
    private static final int MAX_FILE_BYTES = 256 * 1024;

    private final Path directory;
    private final String prefix;
    private final Path own;
    private final Path draft;

    /**
     * Names this process's file; nothing is written yet.
     *
     * @param name of this front end
     * @param startedAtMs tells processes apart that had the same id one after the other
     */
    PeerStateFiles(Path directory, String name, long startedAtMs) {
        this.directory = directory;
        this.prefix = "lineward-" + name.replaceAll("[^A-Za-z0-9._-]", "_") + '-';
        String ownName = prefix + ProcessHandle.current().pid() + '-' + startedAtMs + SUFFIX;
        this.own = directory.resolve(ownName);
        this.draft = directory.resolve(ownName + DRAFT_SUFFIX);
    }

    /** Replaces this process's file; other processes see the old content or the new. */
    void write(PeerState state) throws IOException {
        Files.writeString(draft, PeerStateCodec.encode(state));
        Files.move(draft, own, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Returns the files of the other processes of this front end. */
    List<Path> listPeers() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.filter(this::isPeer).toList();
        }
    }

    private boolean isPeer(Path file) {
        String fileName = file.getFileName().toString();
        return fileName.startsWith(prefix) && fileName.endsWith(SUFFIX) && !file.equals(own);
    }

    /** Returns the state in a file of {@link #listPeers}; a file too large is not read. */
    PeerState read(Path file) throws IOException {
        if (Files.size(file) > MAX_FILE_BYTES) {
            return PeerState.UNUSABLE;
        }
        return PeerStateCodec.decode(Files.readString(file));
    }

    /** Deletes a file of {@link #listPeers}, which another process may have deleted already. */
    void delete(Path file) throws IOException {
        Files.deleteIfExists(file);
    }

    /** Deletes this process's file; one that can't be deleted expires. */
    void deleteOwn() {
        own.toFile().delete();
        draft.toFile().delete();
    }
}
