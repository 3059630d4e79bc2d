package lineward.mysql.session;

import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A comment in a statement by which the client gives the result a key, and may request a page of the result:
 * {@code /* lineward:key=K from=N rows=N *}{@code /}. A comment is used because every driver forwards it,
 * whereas query attributes need a capability that some drivers lack.
 *
 * @param key the key under which the client can read the result again; empty if it has none
 * @param firstRow index of the first requested row, from 0
 * @param rowLimit maximum number of requested rows; empty: all. Ignored if a cursor is opened
 * @param textWithoutHint the statement without the hint
 */
public record SpoolHint(String key, long firstRow, OptionalLong rowLimit, String textWithoutHint) {
    private static final String KEY_PREFIX = "lineward:key=";
    private static final Pattern HINT = Pattern.compile("/\\*\\s*" + KEY_PREFIX + "([A-Za-z0-9_.-]{1,64})"
            + "(?:\\s+from=(\\d{1,12}))?(?:\\s+rows=(\\d{1,12}))?\\s*\\*/");
    private static final int KEY_GROUP = 1;
    private static final int FROM_GROUP = 2;
    private static final int ROWS_GROUP = 3;

    /** Returns the first hint in the text of a statement, or a hint without a key if there is none. */
    public static SpoolHint of(String text) {
        // Few statements have a hint, and this search is much cheaper than the regular expression.
        if (!text.contains(KEY_PREFIX)) {
            return none(text);
        }
        Matcher hint = HINT.matcher(text);
        if (!hint.find()) {
            return none(text);
        }
        String from = hint.group(FROM_GROUP);
        String rows = hint.group(ROWS_GROUP);
        return new SpoolHint(
                hint.group(KEY_GROUP),
                from == null ? 0 : Long.parseLong(from),
                rows == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(rows)),
                text.substring(0, hint.start()) + text.substring(hint.end()));
    }

    /** Returns a hint without a key, for a statement that contains no hint. */
    public static SpoolHint none(String text) {
        return new SpoolHint("", 0, OptionalLong.empty(), text);
    }

    /** Returns whether the client gives its result a key. */
    public boolean hasKey() {
        return !key.isEmpty();
    }

    /** Returns whether the client requests a page of a result, which must already be complete. */
    public boolean requestsPage() {
        return firstRow > 0 || rowLimit.isPresent();
    }
}
