package lineward.engine;

import io.netty.buffer.ByteBuf;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * A reply of an engine. The receiver owns the body.
 *
 * @param id id of the attempt, or tag of the heartbeat or health check, that is answered
 * @param fields values by the field names of {@link LineProtocol}; absent fields have no entry
 */
record Reply(String id, ReplyType type, Map<String, String> fields, ByteBuf body) {
    private static final Pattern NUMBER_LIST =
            Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?([;:|/][0-9]{1,9}(\\.[0-9]{1,9})?){0,15}");
    private static final Pattern NUMBER_SEPARATOR = Pattern.compile("[^0-9.]+");

    /**
     * Returns the numbers in the field, which may be separated by any of {@code ; : | /}. The result is empty
     * if the field is absent or not a list of at most 16 numbers.
     */
    double[] numbers(String field) {
        String text = fields.getOrDefault(field, "");
        if (!NUMBER_LIST.matcher(text).matches()) {
            return new double[0];
        }
        return NUMBER_SEPARATOR
                .splitAsStream(text)
                .filter(number -> !number.isEmpty())
                .mapToDouble(Double::parseDouble)
                .toArray();
    }

    /**
     * Returns the integer in the field.
     *
     * @throws MalformedReplyException if the field is absent or is not an integer
     */
    int integer(String field) {
        String text = fields.get(field);
        if (text == null) {
            throw new MalformedReplyException("field " + field + " is absent");
        }
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            throw new MalformedReplyException("field " + field + " is not an integer", e);
        }
    }
}
