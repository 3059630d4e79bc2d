package lineward.mysql;

/** What a statement asks for, as far as it must be known before the statement is sent to an engine. */
sealed interface StatementKind {
    /** Returns whether a client may prepare the statement. */
    default boolean canBePrepared() {
        return true;
    }

    /** Changes nothing: may be retried. */
    record Read() implements StatementKind {}

    /**
     * May change something: runs once at most.
     *
     * @param leavesTraces whether it may change the engine's session unnoticed, so that its connection must
     *     not be reused for another client
     */
    record Write(boolean leavesTraces) implements StatementKind {}

    /** Asks for the warnings of the statement before, which ran on a connection that other clients share. */
    record ShowWarnings() implements StatementKind {
        @Override
        public boolean canBePrepared() {
            return false;
        }
    }

    /** Changes nothing, as every statement commits by itself: answered at once. */
    record NoOperation() implements StatementKind {}

    /** Sets variables of the session; {@link SessionSettings} knows which of them are supported. */
    record SetVariables() implements StatementKind {
        @Override
        public boolean canBePrepared() {
            return false;
        }
    }

    /** Chooses the schema of the session. */
    record UseSchema(String schema) implements StatementKind {
        @Override
        public boolean canBePrepared() {
            return false;
        }
    }

    /** Depends on one engine's session and is not supported. */
    record Rejected(Failure failure) implements StatementKind {}

    /** Returns what the text asks for; what is not known to be a read counts as a write. */
    static StatementKind of(String text) {
        return StatementClassifier.classify(text);
    }
}
