package lineward.mysql.session;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import lineward.core.ByteBudget;

/**
 * The prepared statements of one client, by the ids that the client received. Their number and the memory of
 * their texts, parameter types and long parameters are limited by {@link StatementLimits}.
 */
public final class PreparedStatements {
    /** Memory of a statement without parameters beside its text: its objects and its map entry. */
    private static final long STATEMENT_OVERHEAD_BYTES = 512;

    private final int maxStatements;
    private final ByteBudget memory;
    private final Map<Long, Entry> statementsById = new HashMap<>();
    private long lastId;

    /** A statement with the bytes that are reserved for it beside those for its parameters. */
    private record Entry(PreparedStatement statement, long reservedBytes) {}

    /** Creates an empty collection with these limits. */
    public PreparedStatements(StatementLimits limits) {
        this.maxStatements = limits.maxStatements();
        this.memory = limits.newClientBudget();
    }

    /** Reserves capacity for one more statement; returns false if a limit is reached. */
    public boolean reserve(int textBytes) {
        return statementsById.size() < maxStatements && memory.reserve(STATEMENT_OVERHEAD_BYTES + textBytes);
    }

    /** Releases the capacity reserved for a statement whose preparation failed. */
    public void releaseReservation(Work.Prepare command) {
        memory.release(reservedBytes(command.text()));
    }

    private static long reservedBytes(String text) {
        return STATEMENT_OVERHEAD_BYTES + text.length();
    }

    /**
     * Adds a statement that an engine has prepared and for which capacity is reserved.
     *
     * @return the statement's id for the client; empty if there is no memory for its parameters, in which
     *     case the reserved capacity is released
     */
    public OptionalLong add(Work.Prepare command, int parameterCount) {
        if (!memory.reserve(PreparedStatement.memoryBytes(parameterCount))) {
            releaseReservation(command);
            return OptionalLong.empty();
        }
        SpoolHint hint = SpoolHint.of(command.text());
        lastId++;
        PreparedStatement statement = new PreparedStatement(command.schema(), hint, parameterCount, memory);
        statementsById.put(lastId, new Entry(statement, reservedBytes(command.text())));
        return OptionalLong.of(lastId);
    }

    /** Returns the statement with this id, or null. */
    public PreparedStatement get(long id) {
        Entry entry = statementsById.get(id);
        return entry == null ? null : entry.statement();
    }

    /** Returns whether any statement has an open cursor. */
    public boolean hasOpenCursor() {
        return statementsById.values().stream()
                .anyMatch(entry -> entry.statement().hasOpenCursor());
    }

    /** Closes the statement with this id, if there is one. */
    public void close(long id) {
        Entry entry = statementsById.remove(id);
        if (entry != null) {
            close(entry);
        }
    }

    /** Closes all statements with their cursors, and releases the capacity reserved for them. */
    public void closeAll() {
        statementsById.values().forEach(this::close);
        statementsById.clear();
    }

    private void close(Entry entry) {
        PreparedStatement statement = entry.statement();
        statement.reset();
        memory.release(entry.reservedBytes() + PreparedStatement.memoryBytes(statement.parameterCount()));
    }
}
