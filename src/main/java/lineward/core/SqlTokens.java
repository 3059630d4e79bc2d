package lineward.core;

/** Walks over the tokens of an SQL text. Comments are passed over, strings are told apart from names. */
public final class SqlTokens {
    /** What a token is. An executable comment runs as if its text stood there bare. */
    public enum Kind {
        WORD,
        NAME,
        STRING,
        NUMBER,
        SYMBOL,
        EXECUTABLE_COMMENT
    }

    private final String text;
    private int at;
    private int began;
    private Kind kind;
    private String token = "";

    /** @param text one statement */
    public SqlTokens(CharSequence text) {
        this.text = text.toString();
    }

    /** Returns whether there is a further token, which {@link #kind} and {@link #text} then tell. */
    public boolean next() {
        while (at < text.length()) {
            char c = text.charAt(at);
            if (Character.isWhitespace(c)) {
                at++;
            } else if (c == '#' || isDashComment(c)) {
                skipTo("\n");
            } else if (c == '/' && peek(1) == '*') {
                boolean runs = peek(2) == '!' || (Character.toUpperCase(peek(2)) == 'M' && peek(3) == '!');
                skipTo("*/");
                if (runs) {
                    return found(Kind.EXECUTABLE_COMMENT, "");
                }
            } else {
                return read(c);
            }
        }
        return false;
    }

    /** Returns the kind of the token that {@link #next} found. */
    public Kind kind() {
        return kind;
    }

    /** Returns a word, name or symbol as it stands; empty for strings and comments. */
    public String text() {
        return token;
    }

    /** Returns where the token begins in the text. */
    public int start() {
        return began;
    }

    /** Returns where the token ends in the text. */
    public int end() {
        return at;
    }

    /** Returns whether the token is this word, in capitals or not. */
    public boolean is(String word) {
        return kind != Kind.NAME && token.equalsIgnoreCase(word);
    }

    private boolean read(char c) {
        int from = at;
        began = at;
        if (c == '\'') {
            skipQuoted(c);
            return found(Kind.STRING, "");
        }
        if (c == '"' || c == '`') {
            skipQuoted(c);
            return found(Kind.NAME, text.substring(from + 1, Math.max(from + 1, at - 1)));
        }
        if (!isIdentifierPart(c)) {
            at++;
            return found(Kind.SYMBOL, String.valueOf(c));
        }
        while (at < text.length() && isIdentifierPart(text.charAt(at))) {
            at++;
        }
        return found(Character.isDigit(c) ? Kind.NUMBER : Kind.WORD, text.substring(from, at));
    }

    private boolean found(Kind what, String as) {
        kind = what;
        token = as;
        return true;
    }

    private boolean isDashComment(char c) {
        return c == '-' && peek(1) == '-' && peek(2) <= ' ';
    }

    private char peek(int ahead) {
        return at + ahead < text.length() ? text.charAt(at + ahead) : '\n';
    }

    private void skipTo(String end) {
        int found = text.indexOf(end, at + end.length());
        at = found < 0 ? text.length() : found + end.length();
    }

    private void skipQuoted(char quote) {
        for (at++; at < text.length(); at++) {
            char c = text.charAt(at);
            if (c == '\\' && quote != '`') {
                at++;
            } else if (c == quote && peek(1) == quote) {
                at++;
            } else if (c == quote) {
                at++;
                return;
            }
        }
        at = text.length();
    }

    private static boolean isIdentifierPart(char c) {
        return Character.isLetterOrDigit(c) || c == '_' || c == '$';
    }
}
