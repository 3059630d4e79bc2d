package lineward.testing;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The codec of {@link TestingEngine}, with the tokens of the line protocol. */
public final class TestingEngineCodec {
    static final String START_QUERY = "want";
    static final String CANCEL_QUERY = "never_mind";
    static final String READ_PAGE = "turn";
    static final String PING = "there";

    /** Fields of progress reports: a known kind, an unknown kind, an invalid amount, and no fields. */
    static final List<String> PROGRESS = List.of("n=done,datum=0.5", "n=mood,datum=9", "n=done,datum=7", "-");

    private static final String BODY = "body ";

    private TestingEngineCodec() {}

    /** Returns the beginning of the line that starts a query of that class. */
    public static String startQueryPrefix(String requestId, String requestClass) {
        return START_QUERY + ' ' + requestId + " sort=" + requestClass + ",patience=";
    }

    /** Returns the line that the engine records for a received body. */
    public static String bodyLine(String body) {
        return BODY + body;
    }

    /** Returns the head of the reply with the first page of a result. */
    static String firstPage(String requestId, int pages) {
        return requestId + " HIT total=" + pages;
    }

    static String firstPageWithoutCount(String requestId) {
        return requestId + " HIT -";
    }

    static String nextPage(String requestId, int page) {
        return requestId + " PART index=" + page;
    }

    static String rejected(String requestId) {
        return requestId + " SHED -";
    }

    static String expired(String requestId) {
        return requestId + " LATE -";
    }

    static String error(String requestId) {
        return requestId + " FAULT why=test";
    }

    static String pageError(String requestId) {
        return requestId + " FAULT -";
    }

    static String healthy(String checkId) {
        return checkId + " PONG -";
    }

    static String unhealthy(String checkId) {
        return checkId + " SICK -";
    }

    static String progress(String requestId, String fields) {
        return requestId + " INFO " + fields;
    }

    static String malformed() {
        return "what is this now";
    }

    /** Writes a complete reply with its length. */
    static void write(Socket socket, String head, String body) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write((head + ' ' + body.length() + "\r\n" + body + "\r\n").getBytes(StandardCharsets.UTF_8));
    }

    /** Writes a reply that announces that length but has only the beginning of its body. */
    static void writeStart(Socket socket, String head, int length, String bodyStart) throws IOException {
        byte[] bytes = (head + ' ' + length + "\r\n" + bodyStart).getBytes(StandardCharsets.US_ASCII);
        socket.getOutputStream().write(bytes);
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException();
            }
            line.write(c);
        }
        return line.toString(StandardCharsets.UTF_8).stripTrailing();
    }
}
