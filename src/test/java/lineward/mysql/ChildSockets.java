package lineward.mysql;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** The sockets connected to one port, by which a test sees that its child processes have closed them. */
final class ChildSockets {
    private static final List<String> SOCKET_TABLES = List.of("/proc/net/tcp", "/proc/net/tcp6");
    private static final int REMOTE_ADDRESS_COLUMN = 2;
    private static final int INODE_COLUMN = 9;

    private final Set<String> socketLinks;

    private ChildSockets(Set<String> socketLinks) {
        this.socketLinks = socketLinks;
    }

    /** Returns the sockets of this host that are connected to the port. */
    static ChildSockets connectedTo(int port) throws IOException {
        String suffix = String.format(":%04X", port);
        Set<String> socketLinks = new HashSet<>();
        for (String name : SOCKET_TABLES) {
            Path table = Path.of(name);
            if (Files.exists(table)) {
                try (Stream<String> lines = Files.lines(table)) {
                    lines.map(line -> line.strip().split("\\s+"))
                            .filter(columns -> columns[REMOTE_ADDRESS_COLUMN].endsWith(suffix))
                            .forEach(columns -> socketLinks.add("socket:[" + columns[INODE_COLUMN] + "]"));
                }
            }
        }
        return new ChildSockets(socketLinks);
    }

    /** Returns whether no child process of the test has any of the sockets open. */
    boolean areClosed() {
        Set<Long> children =
                ProcessHandle.current().children().map(ProcessHandle::pid).collect(Collectors.toSet());
        return children.stream().noneMatch(this::isOpenIn);
    }

    private boolean isOpenIn(long pid) {
        try (Stream<Path> descriptors = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            return descriptors.anyMatch(descriptor -> socketLinks.contains(linkTarget(descriptor)));
        } catch (NoSuchFileException e) {
            // The process has ended, and its sockets with it.
            return false;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String linkTarget(Path descriptor) {
        try {
            return Files.readSymbolicLink(descriptor).toString();
        } catch (IOException e) {
            // The descriptor was closed after it was listed.
            return "";
        }
    }
}
