package lineward.mysql.session;

/**
 * One assignment of a SET statement.
 *
 * @param name the variable in lower case, or "names" for SET NAMES
 * @param value the literal as written, with quotes if it is a string; for SET NAMES the character set and, if
 *     there is one, a space and the collation
 */
record Assignment(String name, String value) {
    private static final String DEFAULT = "default";

    boolean isDefault() {
        return value.equalsIgnoreCase(DEFAULT);
    }

    /** Returns the value without quotes. */
    String unquoted() {
        return unquote(value);
    }

    /** Returns the literal without its quotes, if it has any. */
    static String unquote(String value) {
        boolean isQuoted = value.length() > 1 && (value.startsWith("'") || value.startsWith("\""));
        return isQuoted ? value.substring(1, value.length() - 1) : value;
    }
}
