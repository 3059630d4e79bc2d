package lineward.mysql;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import lineward.spool.store.SpoolFixture;
import lineward.spool.store.SpoolFolder;

/**
 * Measures spooled results over loopback connections, and prints one line for each figure. Arguments: the jar
 * to measure, and optionally the jar of an earlier version for comparison.
 */
public final class MeasureSpool {
    private static final int READERS = 200;
    private static final int ROUNDS = 5;
    private static final double NANOS_PER_MS = 1e6;

    private MeasureSpool() {}

    /**
     * Prints all figures and ends the process.
     *
     * @param args the jar to measure, and optionally the jar of an earlier version
     */
    public static void main(String[] args) throws Exception {
        measureEngineRelease("", args[0], READERS);
        if (args.length > 1) {
            measureEngineRelease("-before", args[1], 4);
        }
        measureMemory(args[0]);
        measureRecovery();
        if (args.length > 1) {
            compareVersions(args[0], args[1]);
        }
        System.exit(0);
    }

    private static void print(String name, double value, String unit) {
        System.out.printf(Locale.ROOT, "%s %.3f %s%n", name, value, unit);
    }

    /** The measured program as a child process, with one test engine. */
    private static final class MeasuredProgram implements AutoCloseable {
        final TestingMysqlEngine engine = new TestingMysqlEngine();
        final Path folder = Files.createTempDirectory("measure");
        final Process process;
        final int port;

        MeasuredProgram(String jar, int connections, int heapMb, String spoolSettings) throws IOException {
            Path file = folder.resolve("mysql.toml");
            Files.writeString(
                    file,
                    "listen = \"127.0.0.1:0\"\n[limits]\nclients = 1000\nconnections-per-engine = "
                            + connections + "\n"
                            + spoolSettings.replace(
                                    "FOLDER", folder.resolve("spool").toString())
                            + "[[user]]\nname = \"office\"\npassword = \"secret\"\n"
                            + "[[class]]\nname = \"all\"\naim-ms = 5000\ndeadline-ms = 30000\n"
                            + "[[engine]]\nname = \"one\"\naddress = \"" + engine.address()
                            + "\"\nuser = \"front\"\n");
            Path log = folder.resolve("log");
            process = new ProcessBuilder(
                            "java",
                            "-XX:+UseSerialGC",
                            "-Xmx" + heapMb + "m",
                            "-Xlog:gc:file=" + folder.resolve("gc"),
                            "-Dio.netty.maxDirectMemory=25165824",
                            "-jar",
                            jar,
                            "mysql",
                            file.toString())
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile())
                    .start();
            String text = "";
            for (int i = 0; i < 200 && !text.contains("server listening"); i++) {
                pause(50);
                text = Files.readString(log);
            }
            String line = text.substring(text.indexOf("server listening"))
                    .lines()
                    .findFirst()
                    .orElseThrow();
            port = Integer.parseInt(line.substring(line.lastIndexOf(':') + 1).strip());
        }

        double cpuMs() {
            return process.info().totalCpuDuration().orElseThrow().toNanos() / NANOS_PER_MS;
        }

        @Override
        public void close() throws IOException {
            process.destroyForcibly();
            engine.close();
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted((a, b) -> b.compareTo(a)).forEach(f -> f.toFile().delete());
            }
        }
    }

    private static void pause(int ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * Measures the time from the engine's last byte to the next statement on its only connection, while
     * clients read their results of 1 MB slowly. The figure includes the time that the program takes to
     * process the next statement.
     */
    private static void measureEngineRelease(String suffix, String jar, int readers) throws Exception {
        List<TestingMysqlClient> slowClients = new ArrayList<>();
        double[] releaseTimes = new double[readers];
        String spool = suffix.isEmpty() ? "[spool]\nmemory-mb = 250\nresults = 1000\n" : "";
        try (MeasuredProgram program = new MeasuredProgram(jar, 1, 512, spool);
                TestingMysqlClient nextClient = new TestingMysqlClient(program.port)) {
            for (int i = 0; i < readers; i++) {
                TestingMysqlClient client = new TestingMysqlClient(program.port);
                client.packets.socket.setReceiveBufferSize(4096);
                slowClients.add(client);
                int executed = program.engine.executedTexts.size();
                client.send(3, "select rows=1000 size=1000");
                for (int t = 0; t < 2000 && program.engine.executedTexts.size() == executed; t++) {
                    pause(1);
                }
                long limitNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(3);
                while (nextClient.query("select rows=1").code() != 0 && System.nanoTime() < limitNanos) {
                    readSlowly(slowClients);
                }
                releaseTimes[i] = program.engine.msUntilNextStatement(limitNanos);
                readSlowly(slowClients);
            }
            Arrays.sort(releaseTimes);
            print("engine-release-p99-ms" + suffix, releaseTimes[(int) Math.ceil(readers * 0.99) - 1], "ms");
        } finally {
            for (TestingMysqlClient client : slowClients) {
                client.close();
            }
        }
    }

    private static void readSlowly(List<TestingMysqlClient> readers) throws IOException {
        for (TestingMysqlClient reader : readers) {
            if (reader.packets.socket.getInputStream().available() > 0) {
                reader.packets
                        .socket
                        .getInputStream()
                        .readNBytes(Math.min(
                                20, reader.packets.socket.getInputStream().available()));
            }
        }
    }

    /**
     * Measures the peak memory of the program while 100 clients request 16 MB each and 50 of them read their
     * results, the number of these results that were incomplete, and the time from the clients' disconnection
     * until all files of the spool are deleted.
     */
    private static void measureMemory(String jar) throws Exception {
        try (MeasuredProgram program = new MeasuredProgram(jar, 8, 64, """
            [spool]
            memory-mb = 16
            folder = "FOLDER"
            file-mb = 4096
            result-mb = 64
            user-mb = 4096
            """)) {
            List<TestingMysqlClient> clients = new ArrayList<>();
            for (int i = 0; i < 100; i++) {
                TestingMysqlClient client = new TestingMysqlClient(program.port);
                client.packets.socket.setReceiveBufferSize(4096);
                clients.add(client);
                client.send(3, "select rows=1600 size=10000");
                if (i % 4 == 3) {
                    for (int t = 0; t < 3000 && program.engine.executedTexts.size() <= i; t++) {
                        pause(1);
                    }
                }
            }
            int incompleteResults = 0;
            for (int i = 0; i < 50; i++) {
                clients.get(i).packets.socket.setSoTimeout(3000);
                incompleteResults += isComplete(clients.get(i)) ? 0 : 1;
            }
            String status = Files.readString(Path.of("/proc/" + program.process.pid() + "/status"));
            double rss = Double.parseDouble(status.lines()
                            .filter(l -> l.startsWith("VmHWM"))
                            .findFirst()
                            .orElseThrow()
                            .replaceAll("[^0-9]", ""))
                    / 1024;
            double heap = Files.readString(program.folder.resolve("gc"))
                    .lines()
                    .filter(l -> l.contains("->"))
                    .mapToDouble(l -> Double.parseDouble(l.replaceAll(".* (\\d+)M->.*", "$1")))
                    .max()
                    .orElse(0);
            print("heap-peak-mb", heap, "MB");
            print("rss-peak-mb", rss, "MB");
            print("lost-results", incompleteResults, "of 50 read");
            for (TestingMysqlClient client : clients) {
                client.close();
            }
            long start = System.nanoTime();
            while (countSegments(program.folder.resolve("spool")) > 0
                    && System.nanoTime() - start < 20_000 * NANOS_PER_MS) {
                pause(5);
            }
            print("returned-after-ms", (System.nanoTime() - start) / NANOS_PER_MS, "ms");
        }
    }

    private static boolean isComplete(TestingMysqlClient client) {
        try {
            return client.readRowCount() == 1600;
        } catch (IOException e) {
            return false;
        }
    }

    private static long countSegments(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(f -> f.toString().endsWith(".lwseg")).count();
        }
    }

    /** Measures the recovery of a spool folder, and counts the wrong blocks read from corrupt files. */
    private static void measureRecovery() throws IOException {
        Path folder = Files.createTempDirectory("recover");
        int megabytes = 512;
        SpoolFixture.writeResults(folder, megabytes / 16, 16);
        long start = System.nanoTime();
        try (SpoolFolder spool = SpoolFolder.acquire(folder)) {
            int recovered = spool.recover().complete().size();
            print(
                    "recover-ms",
                    (System.nanoTime() - start) / NANOS_PER_MS,
                    "ms for " + recovered + " results, " + SpoolFixture.megabytes(folder) + " MB on file");
        }
        print("wrong-bytes", SpoolFixture.wrongBlocks(folder, new Random(1), 1000), "in 1000 crash points");
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(f -> f.toFile().delete());
        }
    }

    /** Compares the CPU time for short results and the throughput of long ones with an earlier version. */
    private static void compareVersions(String currentJar, String earlierJar) throws Exception {
        double[] cpuRatios = new double[ROUNDS];
        double[] throughputRatios = new double[ROUNDS];
        try (MeasuredProgram current = new MeasuredProgram(currentJar, 16, 256, "");
                MeasuredProgram earlier = new MeasuredProgram(earlierJar, 16, 256, "")) {
            cpuMsOfQueries(current, "select rows=10", 3000);
            cpuMsOfQueries(earlier, "select rows=10", 3000);
            secondsOfLongResults(current);
            secondsOfLongResults(earlier);
            for (int i = 0; i < ROUNDS; i++) {
                cpuRatios[i] = cpuMsOfQueries(current, "select rows=10", 3000)
                        / cpuMsOfQueries(earlier, "select rows=10", 3000);
                throughputRatios[i] = secondsOfLongResults(earlier) / secondsOfLongResults(current);
            }
        }
        Arrays.sort(cpuRatios);
        Arrays.sort(throughputRatios);
        print("short-path-ratio", cpuRatios[ROUNDS / 2], "cpu, to the version before");
        print("long-path-ratio", throughputRatios[ROUNDS / 2], "throughput, to the version before");
    }

    private static double cpuMsOfQueries(MeasuredProgram program, String text, int times) throws IOException {
        double before = program.cpuMs();
        try (TestingMysqlClient client = new TestingMysqlClient(program.port)) {
            for (int i = 0; i < times; i++) {
                client.query(text);
            }
        }
        return program.cpuMs() - before;
    }

    private static double secondsOfLongResults(MeasuredProgram program) throws IOException {
        long start = System.nanoTime();
        try (TestingMysqlClient client = new TestingMysqlClient(program.port)) {
            for (int i = 0; i < 3; i++) {
                client.send(3, "select rows=20000 size=1000");
                client.readRowCount();
            }
        }
        return (System.nanoTime() - start) / 1e9;
    }
}
