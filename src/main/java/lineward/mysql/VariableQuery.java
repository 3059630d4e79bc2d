package lineward.mysql;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.UnaryOperator;
import lineward.core.SqlTokens;

/** Answers a SELECT of system variables alone, as drivers send at their login, without an engine. */
final class VariableQuery {
    private final SqlTokens tokens;
    private final UnaryOperator<String> values;
    private final List<String> labels = new ArrayList<>();
    private final List<String> row = new ArrayList<>();
    /** Whether the tokens stand at one, and not behind the last. */
    private boolean more;

    /** @param values tells the value of a variable; null if it is not known */
    VariableQuery(String statement, UnaryOperator<String> values) {
        this.tokens = new SqlTokens(statement);
        this.values = values;
    }

    /** Returns the result; empty if the statement is of another form or names an unknown variable. */
    Optional<LocalResult> answer() {
        boolean answered = advance() && tokens.is("select") && advance() && readColumns();
        return answered ? Optional.of(new LocalResult(labels, row)) : Optional.empty();
    }

    private boolean advance() {
        more = tokens.next();
        return more;
    }

    private boolean readColumns() {
        do {
            if (!readColumn()) {
                return false;
            }
            if (more && !tokens.is(",")) {
                return endsHere();
            }
        } while (more && advance());
        return true;
    }

    /** Returns whether the statement ends here, perhaps behind a limit of one row. */
    private boolean endsHere() {
        if (tokens.is("limit")) {
            return advance() && tokens.is("1") && !advance();
        }
        return tokens.is(";") && !advance();
    }

    private boolean readColumn() {
        String variable = readVariable();
        String value = variable == null ? null : values.apply(name(variable));
        if (value == null) {
            return false;
        }
        advance();
        String label = variable;
        if (more && tokens.is("as")) {
            if (!advance()) {
                return false;
            }
            label = readAlias();
        } else if (more && tokens.kind() == SqlTokens.Kind.WORD && !tokens.is("limit")) {
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
     * Returns a variable as it is written, with its signs and without its scope; null if none stands here.
     */
    private String readVariable() {
        if (!skipSigns()) {
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

    /** Returns whether the symbol stood here and something follows it. */
    private boolean skip(String symbol) {
        return tokens.is(symbol) && advance();
    }

    private boolean skipSigns() {
        boolean first = skip("@");
        return first && skip("@");
    }

    private boolean isScope() {
        return tokens.is("session") || tokens.is("local") || tokens.is("global");
    }

    private static String name(String variable) {
        int afterScope = variable.lastIndexOf('.') + 1;
        return variable.substring(Math.max(afterScope, "@@".length())).toLowerCase(Locale.ROOT);
    }
}
