package lineward.core;

import java.util.Locale;
import java.util.Set;

/** Determines the table group of an SQL statement from the number at the end of a schema name. */
public final class TableGroups {
    /**
     * Tokens after which a qualified name is taken for a table. This includes the comma, so a qualified
     * column that follows a comma is taken for a table as well.
     */
    private static final Set<String> TOKENS_BEFORE_TABLE_REFERENCE =
            Set.of("from", "join", "into", "update", "table", ",");

    private static final int MAX_DIGITS = 6;

    private TableGroups() {}

    /**
     * Returns the number after the last underscore of a schema name. Uses the first numbered schema in a
     * table reference, or the first numbered name before a dot if there is no such reference.
     *
     * @return the number, or {@link RequestAttributes#NO_TABLE_GROUP} if there is none
     */
    public static int groupOf(CharSequence statement) {
        SqlScanner tokens = new SqlScanner(statement);
        int fallbackGroup = RequestAttributes.NO_TABLE_GROUP;
        String name = null;
        boolean expectsTable = false;
        boolean isTableName = false;
        while (tokens.next()) {
            boolean named = isName(tokens);
            if (tokens.is(".") && name != null) {
                int group = parseGroup(name);
                if (group > 0 && isTableName) {
                    return group;
                }
                fallbackGroup = fallbackGroup > 0 ? fallbackGroup : group;
            }
            isTableName = named && expectsTable;
            name = named ? tokens.text() : null;
            expectsTable = precedesTableReference(tokens);
        }
        return fallbackGroup;
    }

    private static boolean isName(SqlScanner tokens) {
        return tokens.kind() == SqlScanner.Kind.WORD || tokens.kind() == SqlScanner.Kind.QUOTED_IDENTIFIER;
    }

    private static boolean precedesTableReference(SqlScanner tokens) {
        return tokens.kind() != SqlScanner.Kind.QUOTED_IDENTIFIER
                && TOKENS_BEFORE_TABLE_REFERENCE.contains(tokens.text().toLowerCase(Locale.ROOT));
    }

    private static int parseGroup(String schema) {
        String digits = schema.substring(schema.lastIndexOf('_') + 1);
        boolean numbered = digits.length() < schema.length()
                && !digits.isEmpty()
                && digits.length() <= MAX_DIGITS
                && digits.chars().allMatch(c -> c >= '0' && c <= '9');
        return numbered ? Integer.parseInt(digits) : RequestAttributes.NO_TABLE_GROUP;
    }
}
