import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** One front end, started with the command `run` of the deploy file from the root of the repository. */
final class FrontEnd implements AutoCloseable {
    private final Process process;
    private final Path folder;
    private final Path log;
    final int port;

    /**
     * @param settings the object `settings` of the configuration
     * @param known the events of the start, as JSON
     * @param argument appended to the command, for example a MySQL file; empty for none
     */
    FrontEnd(Path root, String settings, String known, int journalPort, int memoryMb, int sockets, String argument)
            throws Exception {
        folder = Files.createTempDirectory("review");
        Path shared = Files.createDirectory(folder.resolve("tmp"));
        port = freePort();
        Path config = folder.resolve("config.json");
        Files.writeString(
                config,
                "{\"name\":\"n1\",\"listen\":\"127.0.0.1:" + port + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
                        + "\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "},\"journal\":\"127.0.0.1:"
                        + journalPort + "\",\"known\":" + known + ",\"settings\":" + settings + "}");
        log = folder.resolve("log.txt");
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run(root) + argument);
        builder.directory(root.toFile()).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().put("RELAY_CONFIG", config.toString());
        builder.environment().put("RELAY_NAME", "n1");
        builder.environment().put("RELAY_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("TMPDIR", shared.toString());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** Returns the command `run` of the deploy file. */
    private static String run(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = ")) {
                return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
            }
        }
        throw new IOException("no run in the deploy file");
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** Waits until a ping is answered with good; throws if that takes over 30 s. */
    void awaitReady() throws Exception {
        long until = Record.now() + 30_000;
        while (Record.now() < until && process.isAlive()) {
            try (Client client = new Client(port)) {
                if (client.ping()) {
                    return;
                }
            } catch (IOException e) {
                // Not yet.
            }
            Thread.sleep(50);
        }
        throw new IOException("the front end is not ready: " + log());
    }

    boolean isAlive() {
        return process.isAlive();
    }

    String log() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            return e.toString();
        }
    }

    String status(String name) {
        try (Stream<String> lines = Files.lines(Path.of("/proc/" + process.pid() + "/status"))) {
            return lines.filter(line -> line.startsWith(name)).findFirst().orElse("").replaceAll("\\s+", " ");
        } catch (IOException e) {
            return e.toString();
        }
    }

    @Override
    public void close() throws Exception {
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
        List<Path> files = new ArrayList<>();
        try (Stream<Path> walk = Files.walk(folder)) {
            walk.forEach(files::add);
        }
        for (int i = files.size() - 1; i >= 0; i--) {
            Files.deleteIfExists(files.get(i));
        }
    }
}
