package lineward.mysql;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * How a client names its result, in a comment of the statement: {@code /* lineward:key=K from=N rows=N
 * *}{@code /}. A comment passes through every driver; query attributes would need a capability that not all
 * of them have.
 *
 * @param key empty: the result has none
 * @param from first row wanted, from 0
 * @param rows rows wanted of a statement without a cursor; negative: all
 * @param statement the statement without the hint
 */
record SpoolHint(String key, long from, long rows, String statement) {
    private static final Pattern HINT = Pattern.compile("/\\*\\s*lineward:key=([A-Za-z0-9_.-]{1,64})"
            + "(?:\\s+from=(\\d{1,12}))?(?:\\s+rows=(\\d{1,12}))?\\s*\\*/");

    /** Returns the first hint of a statement; one without a key if it has none. */
    static SpoolHint of(String text) {
        if (!text.contains("lineward:key=")) {
            return new SpoolHint("", 0, -1, text);
        }
        Matcher hint = HINT.matcher(text);
        if (!hint.find()) {
            return new SpoolHint("", 0, -1, text);
        }
        return new SpoolHint(
                hint.group(1),
                hint.group(2) == null ? 0 : Long.parseLong(hint.group(2)),
                hint.group(3) == null ? -1 : Long.parseLong(hint.group(3)),
                text.substring(0, hint.start()) + text.substring(hint.end()));
    }

    /** Returns whether a page of the result is asked for, which must exist already. */
    boolean isPart() {
        return from > 0 || rows >= 0;
    }
}
