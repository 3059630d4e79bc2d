package lineward;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
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
    private final Process process;
    private final List<String> log = new ArrayList<>();

    public Program(Map<String, String> environment, String... words) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"),
                "lineward.app.Main"));
        command.addAll(List.of(words));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().putAll(environment);
        process = builder.start();
        Thread reader = new Thread(this::read, "log");
        reader.setDaemon(true);
        reader.start();
    }

    private void read() {
        try (BufferedReader in = new BufferedReader(new InputStreamReader(process.getInputStream(),
                StandardCharsets.UTF_8))) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                synchronized (log) {
                    log.add(line);
                }
            }
        } catch (IOException e) {
            // The process has ended; its status tells the rest.
        }
    }

    /** @return the port of its first listener, once it listens */
    public int port() {
        return portIn(LISTENS);
    }

    /** @return the port where operators call */
    public int operations() {
        return portIn(OPERATIONS);
    }

    private int portIn(String words) {
        await(words, () -> log().contains(words) || !process.isAlive());
        String text = log();
        String line = text.substring(text.indexOf(words)).lines().findFirst().orElseThrow();
        return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1).strip());
    }

    public String log() {
        synchronized (log) {
            return String.join("\n", log);
        }
    }

    public boolean isAlive() {
        return process.isAlive();
    }

    /** Sends SIGTERM. */
    public void terminate() {
        process.toHandle().destroy(); // Process.destroy would close the log as well
    }

    /** Sends SIGHUP. */
    public void hangUp() throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
    }

    /** @return its exit status, once it has ended */
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
        process.destroyForcibly();
    }
}
