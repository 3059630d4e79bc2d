package lineward.mysql.session;

import java.util.HashMap;
import java.util.Map;

/**
 * The prepared statements of one client, by the ids that the client received. Their number and the size of
 * their texts are limited by {@link StatementLimits}.
 */
public final class PreparedStatements {
    private final StatementLimits limits;
    private final Map<Long, PreparedStatement> statementsById = new HashMap<>();
    private long lastId;

    /** Creates an empty collection with these limits. */
    public PreparedStatements(StatementLimits limits) {
        this.limits = limits;
    }

    /** Reserves capacity for one more statement; returns false if a limit is reached. */
    public boolean reserve(int textBytes) {
        return statementsById.size() < limits.maxStatements()
                && limits.textBudget().reserve(textBytes);
    }

    /** Releases the capacity reserved for a statement whose preparation failed. */
    public void releaseReservation(Work.Prepare command) {
        limits.textBudget().release(command.text().length());
    }

    /**
     * Adds a statement that an engine has prepared and for which capacity is reserved.
     *
     * @return the statement's id for the client
     */
    public long add(Work.Prepare command, int parameterCount) {
        SpoolHint hint = SpoolHint.of(command.text());
        int textBytes = command.text().length();
        lastId++;
        statementsById.put(lastId, new PreparedStatement(command.schema(), hint, parameterCount, textBytes));
        return lastId;
    }

    /** Returns the statement with this id, or null. */
    public PreparedStatement get(long id) {
        return statementsById.get(id);
    }

    /** Returns whether any statement has an open cursor. */
    public boolean hasOpenCursor() {
        return statementsById.values().stream().anyMatch(PreparedStatement::hasOpenCursor);
    }

    /** Closes the statement with this id, if there is one. */
    public void close(long id) {
        PreparedStatement statement = statementsById.remove(id);
        if (statement != null) {
            close(statement);
        }
    }

    /** Closes all statements with their cursors, and releases the capacity reserved for them. */
    public void closeAll() {
        statementsById.values().forEach(this::close);
        statementsById.clear();
    }

    private void close(PreparedStatement statement) {
        statement.closeCursor();
        limits.textBudget().release(statement.reservedBytes());
    }
}
