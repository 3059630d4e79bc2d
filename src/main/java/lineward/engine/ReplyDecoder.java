package lineward.engine;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Cuts what an engine sends into replies: a line of four words, then as many bytes as the last one says. */
final class ReplyDecoder extends ByteToMessageDecoder {
    /** Longest line of words; ids and fields are short. */
    private static final int LONGEST_LINE = 1024;
    /** Largest body: a page has 6,000 bytes at most, an error's text may be longer. */
    private static final int LARGEST_BODY = 64 * 1024;

    private static final int END = 2;

    private Reply head;
    private int length;

    /** Returns whether a part of a reply is here. */
    boolean holdsPart() {
        return head != null || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (head == null && !readHead(in)) {
            return;
        }
        if (in.readableBytes() < length + END) {
            return;
        }
        int end = in.readerIndex() + length;
        if (in.getByte(end) != '\r' || in.getByte(end + 1) != '\n') {
            throw new MalformedReplyException("no line end after a body");
        }
        out.add(new Reply(head.id(), head.word(), head.fields(), in.readRetainedSlice(length)));
        in.skipBytes(END);
        head = null;
    }

    private boolean readHead(ByteBuf in) {
        int feed = in.bytesBefore((byte) '\n');
        if (feed < 0 || feed > LONGEST_LINE) {
            if (in.readableBytes() > LONGEST_LINE) {
                throw new MalformedReplyException("line too long");
            }
            return false;
        }
        if (feed < 1 || in.getByte(in.readerIndex() + feed - 1) != '\r') {
            throw new MalformedReplyException("line feed without carriage return");
        }
        String line = in.readCharSequence(feed - 1, StandardCharsets.ISO_8859_1).toString();
        in.skipBytes(END);
        String[] words = line.split(" ", -1);
        if (words.length != 4 || words[0].isEmpty()) {
            throw new MalformedReplyException("line of " + words.length + " words");
        }
        try {
            head = new Reply(words[0], Reply.Word.valueOf(words[1]), fields(words[2]), null);
            length = Integer.parseInt(words[3]);
        } catch (IllegalArgumentException e) {
            throw new MalformedReplyException("unknown word or length");
        }
        if (length < 0 || length > LARGEST_BODY) {
            throw new MalformedReplyException("body of " + length + " bytes");
        }
        return true;
    }

    private static Map<String, String> fields(String text) {
        if (text.equals("-")) {
            return Map.of();
        }
        Map<String, String> fields = new HashMap<>();
        for (String pair : text.split(",")) {
            int sign = pair.indexOf('=');
            if (sign < 1) {
                throw new MalformedReplyException("field without a name");
            }
            fields.put(pair.substring(0, sign), pair.substring(sign + 1));
        }
        return fields;
    }
}
