package lineward.mysql;

import java.util.HashMap;
import java.util.Map;

/**
 * The prepared statements of one client, by the ids under which it knows them. Their number is bounded for
 * each client and the bytes of their texts for all clients together.
 */
final class PreparedStatements {
    private final MysqlServer server;
    private final Map<Long, ClientStatement> statementsById = new HashMap<>();
    private long lastId;

    PreparedStatements(MysqlServer server) {
        this.server = server;
    }

    /** Returns whether there is capacity for one more statement; its text is reserved then. */
    boolean reserve(int textBytes) {
        return statementsById.size() < server.maxStatements() && server.reserveStatementText(textBytes);
    }

    /** Gives up what was reserved for a statement that has not been prepared. */
    void release(Work.Prepare work) {
        server.releaseStatementText(work.text().length());
    }

    /**
     * Adds a statement that an engine has prepared and for which capacity was reserved.
     *
     * @return its id
     */
    long add(Work.Prepare work, int parameters) {
        SpoolHint hint = SpoolHint.of(work.text());
        int reservedBytes = work.text().length();
        lastId++;
        statementsById.put(lastId, new ClientStatement(work.schema(), hint, parameters, reservedBytes));
        return lastId;
    }

    /** Returns the statement, or null if the client has none under this id. */
    ClientStatement get(long id) {
        return statementsById.get(id);
    }

    boolean hasOpenCursor() {
        return statementsById.values().stream().anyMatch(ClientStatement::hasCursor);
    }

    /** Closes the statement, if the client has one under this id. */
    void close(long id) {
        ClientStatement statement = statementsById.remove(id);
        if (statement != null) {
            close(statement);
        }
    }

    void closeAll() {
        statementsById.values().forEach(this::close);
        statementsById.clear();
    }

    private void close(ClientStatement statement) {
        statement.closeCursor();
        server.releaseStatementText(statement.reservedBytes);
    }
}
