package lineward.operations;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import lineward.Program;

/** Calls a program's second address as operators do. */
public final class Operator {
    /** An answer: its status, 0 where the connection ended without one, and its body. */
    public record Answer(int status, String body) {}

    private final int port;

    public Operator(Program program) {
        this.port = program.operations();
    }

    /** Returns what comes back for these bytes until the connection ends. */
    Answer raw(String bytes) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            String all = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return all.isEmpty()
                    ? new Answer(0, "")
                    : new Answer(Integer.parseInt(all.split(" ")[1]), all.substring(all.indexOf("\r\n\r\n") + 4));
        }
    }

    public Answer get(String path) throws IOException {
        return raw("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
    }

    public Answer post(String path, String body) throws IOException {
        return raw("POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Returns whether the program says that it is ready. */
    public boolean isReady() {
        try {
            return get("/ops/readiness").status() == 200;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    static long millisSince(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
    }
}
