package lineward.core;

/**
 * A tokenizer for SQL statements. It skips comments and distinguishes string literals from quoted
 * identifiers. Not thread-safe.
 */
public final class SqlTokens {
    /** Token types. */
    public enum Kind {
        /** A keyword or an unquoted identifier. */
        WORD,
        /** An identifier in double quotes or backticks. */
        NAME,
        /** A string literal in single quotes. */
        STRING,
        /** A sequence of identifier characters that begins with a digit. */
        NUMBER,
        /** Any other single character. */
        SYMBOL,
        /** A comment whose contents a MySQL or MariaDB server executes. */
        EXECUTABLE_COMMENT
    }

    private final String text;
    private int position;
    private int tokenStart;
    private Kind kind;
    private String token = "";

    /** @param text an SQL statement */
    public SqlTokens(CharSequence text) {
        this.text = text.toString();
    }

    /** Advances to the next token; returns false at the end of the statement. */
    public boolean next() {
        while (position < text.length()) {
            char character = text.charAt(position);
            if (Character.isWhitespace(character)) {
                position++;
            } else if (character == '#' || isDashComment(character)) {
                skipTo("\n");
            } else if (character == '/' && peek(1) == '*') {
                boolean runs = peek(2) == '!' || (Character.toUpperCase(peek(2)) == 'M' && peek(3) == '!');
                skipTo("*/");
                if (runs) {
                    return found(Kind.EXECUTABLE_COMMENT, "");
                }
            } else {
                return read(character);
            }
        }
        return false;
    }

    /** Returns the type of the current token; null before the first one. */
    public Kind kind() {
        return kind;
    }

    /** Returns the token's text without quotes; empty for string literals and executable comments. */
    public String text() {
        return token;
    }

    /** Returns the offset of the first character of the current token; not set for executable comments. */
    public int start() {
        return tokenStart;
    }

    /** Returns the offset after the last character of the current token. */
    public int end() {
        return position;
    }

    /** Returns whether the current token is this keyword or symbol, ignoring case, and is not quoted. */
    public boolean is(String keyword) {
        return kind != Kind.NAME && token.equalsIgnoreCase(keyword);
    }

    private boolean read(char character) {
        int from = position;
        tokenStart = position;
        if (character == '\'') {
            skipQuoted(character);
            return found(Kind.STRING, "");
        }
        if (character == '"' || character == '`') {
            skipQuoted(character);
            return found(Kind.NAME, text.substring(from + 1, Math.max(from + 1, position - 1)));
        }
        if (!isIdentifierCharacter(character)) {
            position++;
            return found(Kind.SYMBOL, String.valueOf(character));
        }
        while (position < text.length() && isIdentifierCharacter(text.charAt(position))) {
            position++;
        }
        return found(Character.isDigit(character) ? Kind.NUMBER : Kind.WORD, text.substring(from, position));
    }

    private boolean found(Kind foundKind, String foundText) {
        kind = foundKind;
        token = foundText;
        return true;
    }

    private boolean isDashComment(char character) {
        return character == '-' && peek(1) == '-' && peek(2) <= ' ';
    }

    private char peek(int ahead) {
        return position + ahead < text.length() ? text.charAt(position + ahead) : '\n';
    }

    private void skipTo(String end) {
        int found = text.indexOf(end, position + end.length());
        position = found < 0 ? text.length() : found + end.length();
    }

    private void skipQuoted(char quote) {
        for (position++; position < text.length(); position++) {
            char character = text.charAt(position);
            if (character == '\\' && quote != '`') {
                position++;
            } else if (character == quote && peek(1) == quote) {
                position++;
            } else if (character == quote) {
                position++;
                return;
            }
        }
        position = text.length();
    }

    private static boolean isIdentifierCharacter(char character) {
        return Character.isLetterOrDigit(character) || character == '_' || character == '$';
    }
}
