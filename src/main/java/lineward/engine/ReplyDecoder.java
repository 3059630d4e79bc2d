package lineward.engine;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Decodes replies. A reply is a header line of id, type, fields and body length, followed by the body and a
 * line terminator. Runs on its channel's event loop.
 */
final class ReplyDecoder extends ByteToMessageDecoder {
    /** Maximum length of a header line. */
    private static final int MAX_HEADER_BYTES = 1024;
    /** Maximum length of a body. It exceeds that of a page because the text of an error may be longer. */
    private static final int MAX_BODY_BYTES = 64 * 1024;

    private static final int HEADER_PARTS = 4;
    private static final int LINE_TERMINATOR_BYTES = LineProtocol.LINE_TERMINATOR.length();
    private static final Pattern FIELD_SEPARATOR = Pattern.compile(",");

    /** The header of the reply whose body is incomplete; null if there is none. */
    private Header header;

    private record Header(String id, ReplyType type, Map<String, String> fields, int bodyBytes) {}

    /** Returns whether the start of a reply was received, but not its end. */
    boolean hasPartialReply() {
        return header != null || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> output) {
        if (header == null) {
            header = readHeader(in);
        }
        if (header == null || in.readableBytes() < header.bodyBytes + LINE_TERMINATOR_BYTES) {
            return;
        }
        int bodyEnd = in.readerIndex() + header.bodyBytes;
        if (in.getByte(bodyEnd) != '\r' || in.getByte(bodyEnd + 1) != '\n') {
            throw new MalformedReplyException("body is not followed by CRLF");
        }
        // A slice would retain the read buffer, which is larger, until the client has read the result.
        ByteBuf body = Unpooled.buffer(header.bodyBytes, header.bodyBytes);
        in.readBytes(body);
        output.add(new Reply(header.id, header.type, header.fields, body));
        in.skipBytes(LINE_TERMINATOR_BYTES);
        header = null;
    }

    /** Returns the next header, or null if its line is incomplete. */
    private static Header readHeader(ByteBuf in) {
        int newlineOffset = in.bytesBefore((byte) '\n');
        if (newlineOffset < 0 || newlineOffset > MAX_HEADER_BYTES) {
            if (in.readableBytes() > MAX_HEADER_BYTES) {
                throw new MalformedReplyException("header line is too long");
            }
            return null;
        }
        if (newlineOffset < 1 || in.getByte(in.readerIndex() + newlineOffset - 1) != '\r') {
            throw new MalformedReplyException("header line does not end with CRLF");
        }
        CharSequence headerLine = in.readCharSequence(newlineOffset - 1, StandardCharsets.ISO_8859_1);
        in.skipBytes(LINE_TERMINATOR_BYTES);
        return parseHeader(headerLine.toString());
    }

    private static Header parseHeader(String text) {
        String[] parts = text.split(" ", -1);
        if (parts.length != HEADER_PARTS || parts[0].isEmpty()) {
            throw new MalformedReplyException("header has no id, or " + parts.length + " parts instead of 4");
        }
        ReplyType type = ReplyType.parse(parts[1]);
        return new Header(parts[0], type, parseFields(parts[2]), parseBodyLength(parts[3]));
    }

    private static int parseBodyLength(String text) {
        int bytes;
        try {
            bytes = Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new MalformedReplyException("body length is not an integer", e);
        }
        if (bytes < 0 || bytes > MAX_BODY_BYTES) {
            throw new MalformedReplyException("body length " + bytes + " is out of range");
        }
        return bytes;
    }

    private static Map<String, String> parseFields(String text) {
        if (text.equals(LineProtocol.NO_FIELDS)) {
            return Map.of();
        }
        Map<String, String> fields = new HashMap<>();
        FIELD_SEPARATOR.splitAsStream(text).forEach(field -> {
            int equalsSign = field.indexOf('=');
            if (equalsSign < 1) {
                throw new MalformedReplyException("header field has no name");
            }
            fields.put(field.substring(0, equalsSign), field.substring(equalsSign + 1));
        });
        return fields;
    }
}
