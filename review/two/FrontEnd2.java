import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The project's program, started by the `run` command of deploy/balancer.toml in a temporary folder: the
 * folder has a link to target/, a configuration of a small deployment, and, for cases with MySQL clients, a MySQL
 * file with an address.
 */
final class FrontEnd2 implements AutoCloseable {
    /** The classes of the deployment: place checks and term reports. */
    static final String CLASSES = """
            [[class]]
            name = "term-report"
            match = "term_report"
            aim-ms = 3000
            deadline-ms = 15000
            worth = 12
            threads = 3

            [[class]]
            name = "place-check"
            aim-ms = 500
            deadline-ms = 2500
            """;

    final int thriftPort;
    final int mysqlPort;
    final Path folder;
    private final Record2 record;
    private final Process process;
    private final Journal2 journal;

    FrontEnd2(Path root, Path folder, String engines, Record2 record) throws IOException {
        this(root, folder, engines, "", record);
    }

    /** Starts a front end for MySQL clients too; on the platform's side there is one engine that has no use. */
    FrontEnd2(Path root, Path folder, String engines, String moreSettings, Record2 record) throws IOException {
        this(root, folder, new Journal2(new LineEngine2("s-00c41f7a").instance("ready")), engines, moreSettings, record);
    }

    /** Starts a front end for the platform only. */
    FrontEnd2(Path root, Path folder, Journal2 journal, Record2 record) throws IOException {
        this(root, folder, journal, "", "", record);
    }

    private FrontEnd2(
            Path root, Path folder, Journal2 journal, String engines, String moreSettings, Record2 record)
            throws IOException {
        this.record = record;
        this.folder = folder;
        this.journal = journal;
        thriftPort = freePort();
        mysqlPort = engines.isEmpty() ? 0 : freePort();
        Files.createDirectories(folder.resolve("deploy"));
        Files.createDirectories(folder.resolve("tmp"));
        Files.createSymbolicLink(folder.resolve("target"), root.resolve("target"));
        Path config = folder.resolve("config.json");
        Files.writeString(config, config());
        if (mysqlPort != 0) {
            writeMysqlFile(engines, moreSettings);
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand(root));
        builder.directory(folder.toFile());
        builder.environment().put("RELAY_NAME", "n1");
        builder.environment().put("RELAY_LISTEN", "127.0.0.1:" + thriftPort);
        builder.environment().put("RELAY_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.resolve("tmp").toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(folder.resolve("log.txt").toFile());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        awaitListening();
        record.line("front end listens: thrift %d, mysql %d", thriftPort, mysqlPort);
    }

    /** Replaces the MySQL file in one step, as an operator does. */
    void writeMysqlFile(String engines, String moreSettings) throws IOException {
        String text = "listen = \"127.0.0.1:" + mysqlPort + "\"\n\n" + moreSettings
                + "[[user]]\nname = \"office\"\npassword = \"little-steps\"\n\n" + engines + CLASSES;
        Path next = folder.resolve("deploy/mysql.toml.new");
        Files.writeString(next, text);
        Files.move(
                next,
                folder.resolve("deploy/mysql.toml"),
                java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    static String engine(String name, int port, String state) {
        return "[[engine]]\nname = \"" + name + "\"\naddress = \"127.0.0.1:" + port
                + "\"\nuser = \"lineward\"\npassword = \"x\"\ncores = 8\nstate = \"" + state + "\"\n\n";
    }

    private static String runCommand(Path root) throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$")
                .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("deploy/balancer.toml has no run command");
        }
        return run.group(1);
    }

    private String config() {
        return """
                {"name":"n1","listen":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "journal":"127.0.0.1:%d",
                 "known":%s,
                 "settings":{"az":0,"classes":[
                  {"name":"place-check","aim":500,"aim-stretch":2,"deadline":2500,"value":1,"effect":"retryable",
                   "dedup-scope":"all","late-share":0.1},
                  {"name":"term-report","aim":3000,"aim-stretch":2.5,"deadline":15000,"value":12,"effect":"retryable",
                   "dedup-scope":"all","late-share":0.3}],
                  "peers-total":2,"ordinal":0,
                  "limits":{"cancel":true,"max-attempts":6,"retry-after":true,"max-retry-after":2000,
                   "connect-timeout":250,"conn-idle":30000,"streams-per-conn":100},
                  "obligations":{"drain-grace":1000,"cold":15000,"cold-share":0.34,"overload-factor":2.5,"fall":1500},
                  "specifics":{"cpu-of-kind":[8],"ram-of-kind-mb":[16384],"grants":true,"lanes-count":true,
                   "threads-by-class":[1,3]},
                  "skus":["std-8core"],"zones":["floor-1","floor-2"],
                  "tenants":[{"name":"western-branches","quota-rps":60}]}}
                """
                .formatted(thriftPort, journal.port(), journal.after(0));
    }

    static void startDaemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private void awaitListening() throws IOException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        List<Integer> ports = new ArrayList<>(mysqlPort == 0 ? List.of(thriftPort) : List.of(thriftPort, mysqlPort));
        while (!ports.isEmpty()) {
            if (!process.isAlive() || System.nanoTime() > endNanos) {
                throw new IOException("the front end has not started: " + Files.readString(folder.resolve("log.txt")));
            }
            try (Socket probe = new Socket("127.0.0.1", ports.get(0))) {
                ports.remove(0);
            } catch (IOException e) {
                sleep(100);
            }
        }
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    boolean isAlive() {
        return process.isAlive();
    }

    Process process() {
        return process;
    }

    String log() throws IOException {
        return Files.readString(folder.resolve("log.txt"));
    }

    @Override
    public void close() throws IOException {
        process.destroyForcibly();
        try {
            process.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        journal.close();
        record.line("front end ended");
    }
}
