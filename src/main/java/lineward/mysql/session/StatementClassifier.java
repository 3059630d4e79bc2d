package lineward.mysql.session;

import java.util.Locale;
import java.util.Set;
import lineward.core.SqlScanner;
import lineward.mysql.wire.SqlError;

/** Classifies a statement by its tokens. Words in strings, quoted names and comments are ignored. */
final class StatementClassifier {
    /** First words of statements that only read, unless a later word makes them a write. */
    private static final Set<String> READ_KEYWORDS =
            Set.of("select", "show", "desc", "describe", "explain", "table", "values", "with", "help", "(");
    /** Words that make a statement a write at any position, among them those of locking reads. */
    private static final Set<String> WRITE_KEYWORDS =
            Set.of("insert", "update", "delete", "replace", "into", "lock", "share");
    /** First words of statements that leave the engine's session unchanged. */
    private static final Set<String> SESSION_PRESERVING_KEYWORDS = Set.of(
            "select",
            "show",
            "desc",
            "describe",
            "explain",
            "table",
            "values",
            "with",
            "help",
            "(",
            "insert",
            "update",
            "delete",
            "replace",
            "truncate",
            "create",
            "alter",
            "drop",
            "rename",
            "analyze",
            "optimize",
            "check",
            "checksum",
            "repair",
            "grant",
            "revoke",
            "do",
            "load");
    /** First words of statements that belong to a transaction of several statements. */
    private static final Set<String> TRANSACTION_KEYWORDS =
            Set.of("begin", "savepoint", "xa", "lock", "unlock", "release");
    /** First words of statements that depend on the session of one engine. */
    private static final Set<String> SESSION_KEYWORDS = Set.of(
            "prepare",
            "execute",
            "deallocate",
            "handler",
            "kill",
            "declare", // this and the following ones are statements of stored programs
            "get",
            "signal",
            "resignal");
    /** Functions that depend on the session of one engine. */
    private static final Set<String> SESSION_FUNCTIONS = Set.of(
            "last_insert_id",
            "found_rows",
            "row_count",
            "get_lock",
            "release_lock",
            "release_all_locks",
            "is_used_lock",
            "is_free_lock",
            "connection_id");
    /**
     * System variables that belong to one connection to an engine. Some describe its previous statement,
     * which may be another client's.
     */
    private static final Set<String> SESSION_VARIABLES = Set.of(
            "last_insert_id",
            "identity",
            "insert_id",
            "warning_count",
            "error_count",
            "rand_seed1",
            "rand_seed2",
            "pseudo_thread_id",
            "proxy_user",
            "external_user");

    private static final Set<String> WARNING_LISTS = Set.of("warnings", "errors");
    private static final String USER_VARIABLE_SIGN = "@";
    private static final String SYSTEM_VARIABLE_SIGN = "@@";

    private final SqlScanner tokens;
    private boolean onlyReads;
    private boolean changesSession;
    /** The previous token if it was a word, @ or @@; else empty. */
    private String previousToken = "";

    private StatementClassifier(String text, String firstKeyword) {
        tokens = new SqlScanner(text);
        onlyReads = READ_KEYWORDS.contains(firstKeyword);
        changesSession = !SESSION_PRESERVING_KEYWORDS.contains(firstKeyword);
    }

    /** Returns the kind of the statement; a statement that is not known to be a read is a write. */
    static StatementKind classify(String text) {
        SqlScanner tokens = new SqlScanner(text);
        if (!tokens.next() || isNameOrExecutableComment(tokens)) {
            return new StatementKind.Write(true);
        }
        String first = lowerCase(tokens);
        String second = tokens.next() ? lowerCase(tokens) : "";
        return switch (first) {
            case "use" -> new StatementKind.UseSchema(second.isEmpty() ? "" : tokens.text());
            case "set" -> new StatementKind.SetVariables();
            case "commit" -> new StatementKind.NoOperation();
            case "rollback" -> classifyRollback(tokens);
            case "start" -> classifyStart(second);
            case "show" -> classifyShow(text, second);
            default -> classifyOther(text, first, second);
        };
    }

    private static boolean isNameOrExecutableComment(SqlScanner tokens) {
        return tokens.kind() == SqlScanner.Kind.QUOTED_IDENTIFIER
                || tokens.kind() == SqlScanner.Kind.EXECUTABLE_COMMENT;
    }

    private static String lowerCase(SqlScanner tokens) {
        return tokens.text().toLowerCase(Locale.ROOT);
    }

    /** ROLLBACK [WORK] TO refers to a savepoint; a plain ROLLBACK has nothing to roll back. */
    private static StatementKind classifyRollback(SqlScanner tokens) {
        boolean toSavepoint = tokens.is("to") || (tokens.is("work") && tokens.next() && tokens.is("to"));
        return toSavepoint ? unsupportedTransaction("ROLLBACK TO") : new StatementKind.NoOperation();
    }

    private static StatementKind classifyStart(String second) {
        if (second.equals("transaction")) {
            return unsupportedTransaction("START TRANSACTION");
        }
        return new StatementKind.Write(true);
    }

    private static StatementKind classifyShow(String text, String second) {
        if (second.equals("temporary")) {
            return unsupportedTemporaryTable();
        }
        if (WARNING_LISTS.contains(second)) {
            return new StatementKind.ShowWarnings();
        }
        if (second.equals("count")) {
            return unsupported("a count of warnings");
        }
        return new StatementClassifier(text, "show").classifyTokens();
    }

    private static StatementKind classifyOther(String text, String first, String second) {
        if (TRANSACTION_KEYWORDS.contains(first)) {
            return unsupportedTransaction(first.toUpperCase(Locale.ROOT));
        }
        if (SESSION_KEYWORDS.contains(first)) {
            return unsupported(first.toUpperCase(Locale.ROOT));
        }
        if (second.equals("temporary")) {
            return unsupportedTemporaryTable();
        }
        return new StatementClassifier(text, first).classifyTokens();
    }

    private StatementKind classifyTokens() {
        while (tokens.next()) {
            String keyword = tokens.kind() == SqlScanner.Kind.WORD ? lowerCase(tokens) : "";
            StatementKind rejection = rejectSessionState(keyword);
            if (rejection != null) {
                return rejection;
            }
            boolean executable = tokens.kind() == SqlScanner.Kind.EXECUTABLE_COMMENT;
            onlyReads &= !executable && !isAfterWriteKeyword();
            changesSession |= executable || keyword.equals("temporary");
            recordToken(keyword);
        }
        boolean endsInWriteKeyword = WRITE_KEYWORDS.contains(previousToken);
        if (onlyReads && !endsInWriteKeyword) {
            return new StatementKind.Read();
        }
        return new StatementKind.Write(changesSession);
    }

    /** REPLACE(…) and INSERT(…) are string functions, not writes. */
    private boolean isAfterWriteKeyword() {
        boolean isFunction = tokens.is("(") && !previousToken.equals("into");
        return WRITE_KEYWORDS.contains(previousToken) && !isFunction;
    }

    /** Returns a rejection if the current token refers to session state, else null. */
    private StatementKind rejectSessionState(String keyword) {
        if (tokens.is("(") && SESSION_FUNCTIONS.contains(previousToken)) {
            return unsupported(previousToken.toUpperCase(Locale.ROOT) + "()");
        }
        // A user variable (@) is not supported; a system variable (@@) is.
        if (previousToken.equals(USER_VARIABLE_SIGN) && !keyword.isEmpty()) {
            return unsupported("a user variable");
        }
        return SESSION_VARIABLES.contains(keyword) ? unsupported(SYSTEM_VARIABLE_SIGN + keyword) : null;
    }

    private void recordToken(String keyword) {
        if (!tokens.is(USER_VARIABLE_SIGN)) {
            previousToken = keyword;
        } else {
            boolean isSecondSign = previousToken.equals(USER_VARIABLE_SIGN);
            previousToken = isSecondSign ? SYSTEM_VARIABLE_SIGN : USER_VARIABLE_SIGN;
        }
    }

    private static StatementKind unsupportedTemporaryTable() {
        return unsupported("a temporary table");
    }

    private static StatementKind unsupported(String what) {
        return new StatementKind.Rejected(SqlError.unsupported(what));
    }

    private static StatementKind unsupportedTransaction(String what) {
        return new StatementKind.Rejected(SqlError.unsupportedTransaction(what));
    }
}
