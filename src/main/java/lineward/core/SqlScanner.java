package lineward.core;

/**
 * A tokenizer for SQL statements. It skips comments and distinguishes string literals from quoted
 * identifiers. Not thread-safe.
 */
public final class SqlScanner {
    /** Token types. */
    public enum Kind {
        /** A keyword or an unquoted identifier. */
        WORD,
        /** An identifier in double quotes or backticks. */
        QUOTED_IDENTIFIER,
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
    private String tokenText = "";

    /** @param statement an SQL statement */
    public SqlScanner(CharSequence statement) {
        this.text = statement.toString();
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
                boolean isExecutableComment =
                        peek(2) == '!' || (Character.toUpperCase(peek(2)) == 'M' && peek(3) == '!');
                skipTo("*/");
                if (isExecutableComment) {
                    return emit(Kind.EXECUTABLE_COMMENT, "");
                }
            } else {
                return readToken(character);
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
        return tokenText;
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
        return kind != Kind.QUOTED_IDENTIFIER && tokenText.equalsIgnoreCase(keyword);
    }

    private boolean readToken(char character) {
        int from = position;
        tokenStart = position;
        if (character == '\'') {
            skipQuoted(character);
            return emit(Kind.STRING, "");
        }
        if (character == '"' || character == '`') {
            skipQuoted(character);
            return emit(Kind.QUOTED_IDENTIFIER, text.substring(from + 1, Math.max(from + 1, position - 1)));
        }
        if (!isIdentifierCharacter(character)) {
            position++;
            return emit(Kind.SYMBOL, String.valueOf(character));
        }
        while (position < text.length() && isIdentifierCharacter(text.charAt(position))) {
            position++;
        }
        return emit(Character.isDigit(character) ? Kind.NUMBER : Kind.WORD, text.substring(from, position));
    }

    private boolean emit(Kind newKind, String newText) {
        kind = newKind;
        tokenText = newText;
        return true;
    }

    private boolean isDashComment(char character) {
        return character == '-' && peek(1) == '-' && peek(2) <= ' ';
    }

    private char peek(int ahead) {
        return position + ahead < text.length() ? text.charAt(position + ahead) : '\n';
    }

    private void skipTo(String end) {
        int endOffset = text.indexOf(end, position + end.length());
        position = endOffset < 0 ? text.length() : endOffset + end.length();
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
