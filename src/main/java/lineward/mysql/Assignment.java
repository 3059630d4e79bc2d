package lineward.mysql;

/**
 * One assignment of a SET statement.
 *
 * @param name of the variable, in lower case; that of SET NAMES is "names"
 * @param value as it is written in a statement, quoted where it is a text
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

    /** Returns a value of a statement without quotes, if it has any. */
    static String unquote(String value) {
        boolean isQuoted = value.length() > 1 && (value.startsWith("'") || value.startsWith("\""));
        return isQuoted ? value.substring(1, value.length() - 1) : value;
    }
}
