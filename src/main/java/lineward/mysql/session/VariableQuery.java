package lineward.mysql.session;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.UnaryOperator;
import lineward.core.SqlScanner;
import lineward.mysql.wire.LocalResult;

/** Answers a SELECT of system variables only without an engine. Drivers send such statements after login. */
final class VariableQuery {
    private final SqlScanner tokens;
    private final UnaryOperator<String> values;
    private final List<String> labels = new ArrayList<>();
    private final List<String> row = new ArrayList<>();
    /** Whether there is a current token. */
    private boolean hasToken;

    /** @param values returns the value of a variable, or null if the variable is unknown */
    VariableQuery(String statement, UnaryOperator<String> values) {
        this.tokens = new SqlScanner(statement);
        this.values = values;
    }

    /** Returns the result; empty if the statement is of another form or names an unknown variable. */
    Optional<LocalResult> answer() {
        boolean answered = advance() && tokens.is("select") && advance() && readColumns();
        return answered ? Optional.of(new LocalResult(labels, row)) : Optional.empty();
    }

    private boolean advance() {
        hasToken = tokens.next();
        return hasToken;
    }

    private boolean readColumns() {
        do {
            if (!readColumn()) {
                return false;
            }
            if (hasToken && !tokens.is(",")) {
                return readEnd();
            }
        } while (hasToken && advance());
        return true;
    }

    /** Returns whether the statement ends here, possibly after LIMIT 1. */
    private boolean readEnd() {
        if (tokens.is("limit")) {
            return advance() && tokens.is("1") && !advance();
        }
        return tokens.is(";") && !advance();
    }

    private boolean readColumn() {
        String variable = readVariable();
        String value = variable == null ? null : values.apply(nameWithoutScope(variable));
        if (value == null) {
            return false;
        }
        advance();
        String label = variable;
        if (hasToken && tokens.is("as")) {
            if (!advance()) {
                return false;
            }
            label = readAlias();
        } else if (hasToken && tokens.kind() == SqlScanner.Kind.WORD && !tokens.is("limit")) {
            label = readAlias();
        }
        labels.add(label);
        row.add(value);
        return true;
    }

    private String readAlias() {
        String alias = tokens.text();
        advance();
        return alias;
    }

    /**
     * Reads a variable and returns it as written, with its scope; null if there is none at the current token.
     */
    private String readVariable() {
        if (!skipAtSigns()) {
            return null;
        }
        String variable = "@@" + tokens.text();
        if (isScope()) {
            if (!advance() || !skip(".")) {
                return null;
            }
            variable += "." + tokens.text();
        }
        return variable;
    }

    /** Skips the symbol; returns false if it is not the current token or the statement ends after it. */
    private boolean skip(String symbol) {
        return tokens.is(symbol) && advance();
    }

    private boolean skipAtSigns() {
        boolean first = skip("@");
        return first && skip("@");
    }

    private boolean isScope() {
        return tokens.is("session") || tokens.is("local") || tokens.is("global");
    }

    private static String nameWithoutScope(String variable) {
        int afterScope = variable.lastIndexOf('.') + 1;
        return variable.substring(Math.max(afterScope, "@@".length())).toLowerCase(Locale.ROOT);
    }
}
