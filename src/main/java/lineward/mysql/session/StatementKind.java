package lineward.mysql.session;

import lineward.mysql.wire.SqlError;

/** How the front end handles a statement. */
public sealed interface StatementKind {
    /** Returns whether a client may prepare the statement, provided that it is not {@link Rejected}. */
    default boolean canBePrepared() {
        return true;
    }

    /** Only reads data, and may be retried. */
    record Read() implements StatementKind {}

    /**
     * May change data, and is executed at most once.
     *
     * @param changesSession whether it may change the engine's session, so that its connection must not be
     *     reused
     */
    record Write(boolean changesSession) implements StatementKind {}

    /** SHOW WARNINGS or SHOW ERRORS; the front end answers that there are none. */
    record ShowWarnings() implements StatementKind {
        @Override
        public boolean canBePrepared() {
            return false;
        }
    }

    /** COMMIT or ROLLBACK; the front end answers OK, as there never is an open transaction. */
    record NoOperation() implements StatementKind {}

    /** Sets session variables, see {@link SessionSettings}. */
    record SetVariables() implements StatementKind {
        @Override
        public boolean canBePrepared() {
            return false;
        }
    }

    /** Selects the schema of the session. */
    record UseSchema(String schema) implements StatementKind {
        @Override
        public boolean canBePrepared() {
            return false;
        }
    }

    /** Not supported, because it needs state of one engine's session, such as a transaction. */
    record Rejected(SqlError error) implements StatementKind {}

    /** Returns the kind of a statement; a statement that is not known to be a read is a write. */
    static StatementKind of(String text) {
        return StatementClassifier.classify(text);
    }
}
