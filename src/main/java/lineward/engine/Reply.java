package lineward.engine;

import io.netty.buffer.ByteBuf;
import java.util.Map;

/** One answer of an engine; the body is the receiver's to release. */
record Reply(String id, Word word, Map<String, String> fields, ByteBuf body) {
    /** What an engine can say. */
    enum Word { HIT, SHED, FAULT, LATE, PART, PONG }

    /** @return the whole number of that name, or the fallback where it is absent */
    int number(String field, int fallback) {
        String text = fields.get(field);
        if (text == null) {
            return fallback;
        }
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new MalformedReplyException("field " + field + " is no number");
        }
    }
}
