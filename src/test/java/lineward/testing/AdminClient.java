package lineward.testing;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** A client of the admin endpoint. */
public final class AdminClient {
    /** A response with its body; the status is 0 if the connection was closed without a response. */
    public record Response(int status, String body) {}

    private static final String HEADERS_END = "\r\n\r\n";

    private final int port;

    /** Creates a client of that program's admin endpoint. */
    public AdminClient(Program program) {
        this.port = program.adminPort();
    }

    /** Sends these bytes and returns the response, which ends when the connection is closed. */
    public Response sendRaw(String bytes) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            return response.isEmpty() ? new Response(0, "") : parse(response);
        }
    }

    private static Response parse(String response) {
        String status = response.split(" ", 3)[1];
        String body = response.substring(response.indexOf(HEADERS_END) + HEADERS_END.length());
        return new Response(Integer.parseInt(status), body);
    }

    /** Sends a GET request. */
    public Response get(String path) throws IOException {
        return sendRaw("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
    }

    /** Sends a POST request; the body is ASCII. */
    public Response post(String path, String body) throws IOException {
        String headers = "Host: x\r\nContent-Length: " + body.length();
        return sendRaw("POST " + path + " HTTP/1.1\r\n" + headers + HEADERS_END + body);
    }

    /** Returns whether the program reports that it is ready. */
    public boolean isReady() {
        try {
            return get("/ops/readiness").status() == 200;
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    public static long millisSince(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }
}
