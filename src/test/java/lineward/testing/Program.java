package lineward.testing;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** Runs the program as a child process, and reads its ports from its log. */
public final class Program implements AutoCloseable {
    private static final String LISTENING_LINE = "server listening: address=";
    private static final String ADMIN_LISTENING_LINE = "admin endpoint listening: address=";
    /** Null if a {@link SocketActivator} started the program. */
    private final Process process;

    private final ProcessHandle handle;
    private final Path log;

    public Program(Map<String, String> environment, String... arguments) throws IOException {
        log = Files.createTempFile("program", ".log");
        ProcessBuilder builder =
                new ProcessBuilder(command(arguments)).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().putAll(environment);
        process = builder.start();
        handle = process.toHandle();
    }

    /** Starts a program that inherits the activator's socket. */
    public Program(SocketActivator activator, String environment) throws IOException {
        log = Files.createTempFile("program", ".log");
        process = null;
        handle = activator.start(log.toString(), environment + ";RELAY_ACCEPT_FD=0", command("serve"));
    }

    private static List<String> command(String... arguments) {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "lineward.app.Main"));
        command.addAll(List.of(arguments));
        return command;
    }

    /** Waits until the program listens, and returns the port of its first listener. */
    public int port() {
        return portIn(LISTENING_LINE);
    }

    /** Waits until the admin endpoint listens, and returns its port. */
    public int adminPort() {
        return portIn(ADMIN_LISTENING_LINE);
    }

    private int portIn(String lineStart) {
        await(lineStart, () -> log().contains(lineStart) || !isAlive());
        String text = log();
        String line =
                text.substring(text.indexOf(lineStart)).lines().findFirst().orElseThrow();
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

    /** Returns the number of its open file descriptors. */
    public int descriptors() {
        return Path.of("/proc/" + handle.pid() + "/fd").toFile().list().length;
    }

    /** Returns its resident memory in MB. */
    public int memoryMb() throws IOException {
        return Files.readAllLines(Path.of("/proc/" + handle.pid() + "/status")).stream()
                .filter(line -> line.startsWith("VmRSS"))
                .mapToInt(line -> Integer.parseInt(line.replaceAll("[^0-9]", "")) / 1024)
                .findFirst()
                .orElseThrow();
    }

    /** Sends SIGTERM. */
    public void sendSigterm() {
        handle.destroy();
    }

    /** Sends SIGHUP. */
    public void sendSighup() throws IOException, InterruptedException {
        sendSignal("HUP");
    }

    /** Sends a signal: STOP suspends the process, CONT resumes it. */
    public void sendSignal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(handle.pid()))
                .start()
                .waitFor();
    }

    /** Waits until the program exits, and returns its exit status. */
    public int awaitExitStatus() throws InterruptedException {
        if (!process.waitFor(30, TimeUnit.SECONDS)) {
            throw new AssertionError("the program has not exited within 30 s:\n" + log());
        }
        return process.exitValue();
    }

    /** Waits until the condition holds; fails the test after 20 seconds. */
    public static void await(String description, BooleanSupplier holds) {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!holds.getAsBoolean()) {
            if (System.nanoTime() > until) {
                throw new AssertionError("condition not met within 20 s: " + description);
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
