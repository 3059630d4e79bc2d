package lineward.engine;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.nio.charset.StandardCharsets;

/** Encodes requests to an engine and writes them to a channel, on the channel's event loop. */
final class RequestWriter {
    private final Channel channel;

    RequestWriter(Channel channel) {
        this.channel = channel;
    }

    /**
     * Sends the query of an attempt.
     *
     * @param onSent called once the last byte was written to the socket; not called if that write fails
     */
    void startQuery(QueryAttempt attempt, Runnable onSent) {
        channel.write(encode(encodeQueryHeader(attempt))).addListener(FailureLog.CHANNEL);
        channel.write(attempt.statement().retainedDuplicate()).addListener(FailureLog.CHANNEL);
        channel.writeAndFlush(encode(LineProtocol.LINE_TERMINATOR)).addListener(done -> {
            if (done.isSuccess()) {
                onSent.run();
            }
        });
    }

    private static String encodeQueryHeader(QueryAttempt attempt) {
        StringBuilder fields = new StringBuilder();
        appendField(fields, LineProtocol.REQUEST_CLASS_FIELD, attempt.requestClass());
        appendField(fields, LineProtocol.TIMEOUT_MS_FIELD, attempt.remainingMs(System.nanoTime()));
        attempt.memoryGrantMb().ifPresent(grant -> appendField(fields, LineProtocol.MEMORY_MB_FIELD, grant));
        appendField(fields, LineProtocol.PRIORITY_FIELD, attempt.priority());
        int statementBytes = attempt.statement().readableBytes();
        return encodeLine(LineProtocol.START_QUERY, attempt.id(), fields, statementBytes);
    }

    private static void appendField(StringBuilder fields, String name, Object value) {
        if (fields.length() > 0) {
            fields.append(',');
        }
        fields.append(name).append('=').append(value);
    }

    void cancelQuery(String id) {
        send(LineProtocol.CANCEL_QUERY, id);
    }

    void changePriority(String id, int priority) {
        send(LineProtocol.CHANGE_PRIORITY, id, priority);
    }

    void readPage(String id, int pageIndex) {
        send(LineProtocol.READ_PAGE, id, pageIndex);
    }

    void closeResult(String id) {
        send(LineProtocol.CLOSE_RESULT, id);
    }

    void ping(String tag) {
        send(LineProtocol.PING, tag);
    }

    void checkHealth(HealthCheck check) {
        send(check.kind().token(), check.tag());
    }

    private void send(Object... tokens) {
        channel.writeAndFlush(encode(encodeLine(tokens))).addListener(FailureLog.CHANNEL);
    }

    private static String encodeLine(Object... tokens) {
        StringBuilder line = new StringBuilder();
        for (Object token : tokens) {
            if (line.length() > 0) {
                line.append(' ');
            }
            line.append(token);
        }
        return line.append(LineProtocol.LINE_TERMINATOR).toString();
    }

    private ByteBuf encode(String text) {
        ByteBuf bytes = channel.alloc().buffer(text.length());
        bytes.writeCharSequence(text, StandardCharsets.US_ASCII);
        return bytes;
    }
}
