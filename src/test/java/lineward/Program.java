package lineward;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** The program as it is run: a process of its own, found by what it logs. */
public final class Program implements AutoCloseable {
    private static final String LISTENS = "listening on ";
    private static final String OPERATIONS = "operators call at ";
    /** Null where it was started by somebody else. */
    private final Process process;

    private final ProcessHandle handle;
    private final Path log;

    public Program(Map<String, String> environment, String... words) throws IOException {
        log = Files.createTempFile("program", ".log");
        ProcessBuilder builder =
                new ProcessBuilder(command(words)).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().putAll(environment);
        process = builder.start();
        handle = process.toHandle();
    }

    /** A program that inherits the holder's socket. */
    public Program(SocketHolder holder, String environment) throws IOException {
        log = Files.createTempFile("program", ".log");
        process = null;
        handle = holder.start(log.toString(), environment + ";RELAY_ACCEPT_FD=0", command("serve"));
    }

    private static List<String> command(String... words) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "lineward.app.Main"));
        command.addAll(List.of(words));
        return command;
    }

    /** Returns the port of its first listener, once it listens. */
    public int port() {
        return portIn(LISTENS);
    }

    /** Returns the port where operators call. */
    public int operations() {
        return portIn(OPERATIONS);
    }

    private int portIn(String words) {
        await(words, () -> log().contains(words) || !isAlive());
        String text = log();
        String line = text.substring(text.indexOf(words)).lines().findFirst().orElseThrow();
        return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1).strip());
    }

    public String log() {
        try {
            return Files.readString(log).stripTrailing();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    public boolean isAlive() {
        return handle.isAlive();
    }

    /** Returns the descriptors that it holds. */
    public int descriptors() {
        return Path.of("/proc/" + handle.pid() + "/fd").toFile().list().length;
    }

    /** Returns the memory that it holds, in MB. */
    public int memoryMb() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + handle.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmRSS"))
                .mapToInt(line -> Integer.parseInt(line.replaceAll("[^0-9]", "")) / 1024)
                .findFirst()
                .orElseThrow();
    }

    /** Sends SIGTERM. */
    public void terminate() {
        handle.destroy();
    }

    /** Sends SIGHUP. */
    public void hangUp() throws IOException, InterruptedException {
        signal("HUP");
    }

    /** Sends that signal: STOP holds the process where it is, CONT lets it go on. */
    public void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(handle.pid()))
                .start()
                .waitFor();
    }

    /** Returns its exit status, once it has ended. */
    public int status() throws InterruptedException {
        if (!process.waitFor(30, TimeUnit.SECONDS)) {
            throw new AssertionError("the program has not ended:\n" + log());
        }
        return process.exitValue();
    }

    /** Waits until the condition holds. */
    public static void await(String what, BooleanSupplier holds) {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() > until) {
                throw new AssertionError("not within 20 s: " + what);
            }
            Thread.onSpinWait();
            try {
                TimeUnit.MILLISECONDS.sleep(2);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    @Override
    public void close() {
        handle.destroyForcibly();
        log.toFile().delete();
    }
}
