package lineward.mysql;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.UnaryOperator;
import lineward.core.SqlTokens;

/** Reads a SET statement into assignments of session variables. */
final class SetReader {
    private final SqlTokens tokens;
    private final String text;
    private final UnaryOperator<String> current;
    private boolean more;

    /**
     * @param current tells the value of a variable, for a value that is built on one; null if it is not known
     */
    SetReader(String text, UnaryOperator<String> current) {
        this.text = text;
        this.tokens = new SqlTokens(text);
        this.current = current;
    }

    /** @throws SessionSettings.UnkeepableException if it sets what is no setting of this session */
    List<SessionSettings.Assignment> read() throws SessionSettings.UnkeepableException {
        List<SessionSettings.Assignment> all = new ArrayList<>();
        tokens.next();
        advance();
        do {
            all.add(assignment());
        } while (more && tokens.is(",") && advance());
        if (more && !(tokens.is(";") && !advance())) {
            throw unkeepable("this form of SET");
        }
        return all;
    }

    private boolean advance() {
        more = tokens.next();
        return more;
    }

    private static SessionSettings.UnkeepableException unkeepable(String what) {
        return new SessionSettings.UnkeepableException(what);
    }

    private SessionSettings.Assignment assignment() throws SessionSettings.UnkeepableException {
        scope();
        require(more, "an empty SET");
        String name = tokens.text().toLowerCase(Locale.ROOT);
        if (name.equals("transaction")) {
            return transaction();
        }
        if (name.equals("character") || name.equals("charset")) {
            require(name.equals("charset") || advance() && tokens.is("set"), "this form of SET");
            name = "names";
        }
        advance();
        if (name.equals("names")) {
            String charset = value();
            if (more && tokens.is("collate")) {
                advance();
                charset += " " + value();
            }
            return new SessionSettings.Assignment(name, charset);
        }
        if (more && tokens.is(":")) {
            advance();
        }
        require(more && tokens.is("="), "this form of SET");
        advance();
        return new SessionSettings.Assignment(name, expression());
    }

    /** Passes over {@code SESSION}, {@code LOCAL} and the signs that say the same. */
    private void scope() throws SessionSettings.UnkeepableException {
        if (tokens.is("@")) {
            require(advance() && tokens.is("@"), "a user variable");
            advance();
            if (isScope()) {
                advance();
                require(more && tokens.is("."), "this form of SET");
                advance();
            }
        } else if (isScope()) {
            advance();
        }
        require(
                !tokens.is("global")
                        && !tokens.is("persist")
                        && !tokens.is("persist_only")
                        && !tokens.is("password")
                        && !tokens.is("role"),
                "SET " + tokens.text());
    }

    private boolean isScope() {
        return more && (tokens.is("session") || tokens.is("local"));
    }

    private SessionSettings.Assignment transaction() throws SessionSettings.UnkeepableException {
        require(advance() && tokens.is("isolation") && advance() && tokens.is("level"), "this form of SET");
        StringBuilder level = new StringBuilder();
        while (advance() && tokens.kind() == SqlTokens.Kind.WORD) {
            level.append(level.isEmpty() ? "" : "-").append(tokens.text().toUpperCase(Locale.ROOT));
        }
        require(
                Set.of("REPEATABLE-READ", "READ-COMMITTED", "READ-UNCOMMITTED", "SERIALIZABLE")
                        .contains(level.toString()),
                "this isolation level");
        return new SessionSettings.Assignment("transaction_isolation", "'" + level + "'");
    }

    private String expression() throws SessionSettings.UnkeepableException {
        if (more && tokens.is("concat")) {
            return concat();
        }
        return value();
    }

    /** Drivers add to a mode that way; what stands there now is known here. */
    private String concat() throws SessionSettings.UnkeepableException {
        require(advance() && tokens.is("("), "this form of SET");
        StringBuilder joined = new StringBuilder();
        do {
            advance();
            String part = value();
            joined.append(part.startsWith("'") || part.startsWith("\"") ? part.substring(1, part.length() - 1) : part);
        } while (more && tokens.is(","));
        require(more && tokens.is(")"), "this form of SET");
        advance();
        require(joined.indexOf("'") < 0 && joined.indexOf("\\") < 0, "this value");
        return "'" + joined + "'";
    }

    private String value() throws SessionSettings.UnkeepableException {
        require(more, "a SET without a value");
        StringBuilder value = new StringBuilder();
        if (tokens.is("@")) {
            require(advance() && tokens.is("@") && advance(), "a user variable");
            if (isScope()) {
                require(advance() && tokens.is(".") && advance(), "this form of SET");
            }
            String known = current.apply(tokens.text().toLowerCase(Locale.ROOT));
            require(known != null && known.indexOf('\'') < 0, "a value built on " + tokens.text());
            value.append('\'').append(known).append('\'');
            advance();
            return value.toString();
        }
        if (tokens.is("-")) {
            value.append('-');
            advance();
        }
        require(
                more && tokens.kind() != SqlTokens.Kind.SYMBOL && tokens.kind() != SqlTokens.Kind.EXECUTABLE_COMMENT,
                "this value");
        value.append(text, tokens.start(), tokens.end());
        advance();
        // A number with a point is three tokens.
        if (more && tokens.is(".")) {
            advance();
            require(more && tokens.kind() == SqlTokens.Kind.NUMBER, "this value");
            value.append('.').append(tokens.text());
            advance();
        }
        return value.toString();
    }

    private static void require(boolean holds, String otherwise) throws SessionSettings.UnkeepableException {
        if (!holds) {
            throw unkeepable(otherwise);
        }
    }
}
