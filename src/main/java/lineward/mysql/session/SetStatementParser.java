package lineward.mysql.session;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.UnaryOperator;
import lineward.core.SqlScanner;

/** Parses a SET statement into assignments of session variables. */
final class SetStatementParser {
    private static final String THIS_FORM = "this form of SET";
    private static final String THIS_VALUE = "this value";
    private static final String USER_VARIABLE = "a user variable";
    private static final Set<String> ISOLATION_LEVELS =
            Set.of("REPEATABLE-READ", "READ-COMMITTED", "READ-UNCOMMITTED", "SERIALIZABLE");

    private final SqlScanner tokens;
    private final String text;
    private final UnaryOperator<String> currentValues;
    /** Whether there is a current token. */
    private boolean hasToken;

    /**
     * @param currentValues returns the current value of a variable, or null if the variable is unknown
     */
    SetStatementParser(String text, UnaryOperator<String> currentValues) {
        this.text = text;
        this.tokens = new SqlScanner(text);
        this.currentValues = currentValues;
    }

    /**
     * Returns the assignments in the order of the statement.
     *
     * @throws UnsupportedSettingException if the statement sets anything but session variables
     */
    List<Assignment> parse() throws UnsupportedSettingException {
        List<Assignment> assignments = new ArrayList<>();
        tokens.next();
        advance();
        do {
            assignments.add(assignment());
        } while (hasToken && tokens.is(",") && advance());
        boolean complete = !hasToken || (tokens.is(";") && !advance());
        require(complete, THIS_FORM);
        return assignments;
    }

    private boolean advance() {
        hasToken = tokens.next();
        return hasToken;
    }

    private boolean at(String token) {
        return hasToken && tokens.is(token);
    }

    private Assignment assignment() throws UnsupportedSettingException {
        skipScope();
        require(hasToken, "an empty SET");
        String name = tokens.text().toLowerCase(Locale.ROOT);
        return switch (name) {
            case "transaction" -> transaction();
            case "names", "charset" -> names();
            case "character" -> {
                require(advance() && tokens.is("set"), THIS_FORM);
                yield names();
            }
            default -> variable(name);
        };
    }

    private Assignment names() throws UnsupportedSettingException {
        advance();
        String charset = value();
        if (at("collate")) {
            advance();
            charset += " " + value();
        }
        return new Assignment("names", charset);
    }

    private Assignment variable(String name) throws UnsupportedSettingException {
        advance();
        if (at(":")) {
            advance();
        }
        require(at("="), THIS_FORM);
        advance();
        return new Assignment(name, at("concat") ? concat() : value());
    }

    /** Skips {@code SESSION}, {@code LOCAL} and {@code @@}. */
    private void skipScope() throws UnsupportedSettingException {
        if (tokens.is("@")) {
            require(advance() && tokens.is("@"), USER_VARIABLE);
            advance();
            if (isSessionScope()) {
                advance();
                require(at("."), THIS_FORM);
                advance();
            }
        } else if (isSessionScope()) {
            advance();
        }
        require(!isOtherScope(), "SET " + tokens.text());
    }

    private boolean isSessionScope() {
        return at("session") || at("local");
    }

    /** Returns whether the scope is not the session, or the statement sets something other than variables. */
    private boolean isOtherScope() {
        return tokens.is("global")
                || tokens.is("persist")
                || tokens.is("persist_only")
                || tokens.is("password")
                || tokens.is("role");
    }

    private Assignment transaction() throws UnsupportedSettingException {
        require(advance() && tokens.is("isolation") && advance() && tokens.is("level"), THIS_FORM);
        StringBuilder level = new StringBuilder();
        while (advance() && tokens.kind() == SqlScanner.Kind.WORD) {
            level.append(level.isEmpty() ? "" : "-").append(tokens.text().toUpperCase(Locale.ROOT));
        }
        require(ISOLATION_LEVELS.contains(level.toString()), "this isolation level");
        return new Assignment("transaction_isolation", "'" + level + "'");
    }

    /** Evaluates CONCAT, because drivers extend sql_mode with CONCAT(@@sql_mode, …). */
    private String concat() throws UnsupportedSettingException {
        require(advance() && tokens.is("("), THIS_FORM);
        StringBuilder joined = new StringBuilder();
        do {
            advance();
            joined.append(unquoted(value()));
        } while (at(","));
        require(at(")"), THIS_FORM);
        advance();
        require(joined.indexOf("'") < 0 && joined.indexOf("\\") < 0, THIS_VALUE);
        return "'" + joined + "'";
    }

    private static String unquoted(String literal) {
        boolean isQuoted = literal.startsWith("'") || literal.startsWith("\"");
        return isQuoted ? literal.substring(1, literal.length() - 1) : literal;
    }

    private String value() throws UnsupportedSettingException {
        require(hasToken, "a SET without a value");
        return tokens.is("@") ? variableValue() : literal();
    }

    private String variableValue() throws UnsupportedSettingException {
        require(advance() && tokens.is("@") && advance(), USER_VARIABLE);
        if (isSessionScope()) {
            require(advance() && tokens.is(".") && advance(), THIS_FORM);
        }
        String current = currentValues.apply(tokens.text().toLowerCase(Locale.ROOT));
        require(current != null && current.indexOf('\'') < 0, "a value built on " + tokens.text());
        advance();
        return "'" + current + "'";
    }

    private String literal() throws UnsupportedSettingException {
        StringBuilder value = new StringBuilder();
        if (tokens.is("-")) {
            value.append('-');
            advance();
        }
        require(isLiteral(), THIS_VALUE);
        value.append(text, tokens.start(), tokens.end());
        advance();
        // The tokenizer splits a number with a decimal point into three tokens.
        if (at(".")) {
            advance();
            require(hasToken && tokens.kind() == SqlScanner.Kind.NUMBER, THIS_VALUE);
            value.append('.').append(tokens.text());
            advance();
        }
        return value.toString();
    }

    private boolean isLiteral() {
        boolean isSymbol = tokens.kind() == SqlScanner.Kind.SYMBOL;
        boolean isExecutableComment = tokens.kind() == SqlScanner.Kind.EXECUTABLE_COMMENT;
        return hasToken && !isSymbol && !isExecutableComment;
    }

    private static void require(boolean supported, String part) throws UnsupportedSettingException {
        UnsupportedSettingException.require(supported, part);
    }
}
