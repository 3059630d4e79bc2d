package lineward.engine;

import io.netty.buffer.ByteBuf;
import java.util.Map;
import java.util.regex.Pattern;

/** One answer of an engine; the body is the receiver's to release. */
record Reply(String id, Word word, Map<String, String> fields, ByteBuf body) {
    private static final Pattern FIGURES =
            Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?([;:|/][0-9]{1,9}(\\.[0-9]{1,9})?){0,15}");

    /** What an engine can say. */
    enum Word {
        HIT,
        SHED,
        FAULT,
        LATE,
        INFO,
        PART,
        PONG,
        SICK
    }

    /** Returns the numbers that stand in that field, whatever parts them; none where one is no number. */
    double[] figures(String field) {
        String text = fields.getOrDefault(field, "");
        return FIGURES.matcher(text).matches()
                ? Pattern.compile("[^0-9.]+")
                        .splitAsStream(text)
                        .filter(s -> !s.isEmpty())
                        .mapToDouble(Double::parseDouble)
                        .toArray()
                : new double[0];
    }

    /** Returns the whole number of that name, or the fallback where it is absent. */
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
