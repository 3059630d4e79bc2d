package lineward.core;

import java.util.Locale;
import java.util.Set;

/** Finds the group of tables that a statement reads or writes: the number in its schema's name. */
public final class TableGroups {
    private static final Set<String> BEFORE_TABLES = Set.of("from", "join", "into", "update", "table", ",");
    private static final int MAX_DIGITS = 6;

    private TableGroups() {}

    /**
     * Returns the number behind the underscore of the first schema named where tables stand, else of the
     *     first name with such a number before a dot; 0 if there is none.
     */
    public static int of(CharSequence statement) {
        SqlTokens tokens = new SqlTokens(statement);
        int fallback = 0;
        String name = null;
        boolean tablesNext = false;
        boolean isTable = false;
        while (tokens.next()) {
            boolean named = isName(tokens);
            if (tokens.is(".") && name != null) {
                int group = number(name);
                if (group > 0 && isTable) {
                    return group;
                }
                fallback = fallback > 0 ? fallback : group;
            }
            isTable = named && tablesNext;
            name = named ? tokens.text() : null;
            tablesNext = isBeforeTables(tokens);
        }
        return fallback;
    }

    private static boolean isName(SqlTokens tokens) {
        return tokens.kind() == SqlTokens.Kind.WORD || tokens.kind() == SqlTokens.Kind.NAME;
    }

    private static boolean isBeforeTables(SqlTokens tokens) {
        return tokens.kind() != SqlTokens.Kind.NAME
                && BEFORE_TABLES.contains(tokens.text().toLowerCase(Locale.ROOT));
    }

    private static int number(String schema) {
        String digits = schema.substring(schema.lastIndexOf('_') + 1);
        boolean numbered = digits.length() < schema.length()
                && !digits.isEmpty()
                && digits.length() <= MAX_DIGITS
                && digits.chars().allMatch(c -> c >= '0' && c <= '9');
        return numbered ? Integer.parseInt(digits) : 0;
    }
}
