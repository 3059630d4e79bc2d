package lineward.mysql;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import lineward.mysql.engine.EngineConfig;
import lineward.spool.SpoolLimits;

/**
 * The configuration of the MySQL front end.
 *
 * @param listen address for clients; null: the front end is disabled
 * @param users passwords by user name
 */
public record MysqlConfig(
        InetSocketAddress listen,
        Bounds bounds,
        Map<String, String> users,
        List<EngineConfig> engines,
        List<QueryClass> classes,
        Spooling spool) {

    /**
     * Settings of the spool for results.
     *
     * @param folder null: results are spooled in memory only
     */
    public record Spooling(SpoolLimits limits, Path folder) {}

    /**
     * Limits of connections, statements and packets.
     *
     * @param maxClients maximum of client connections; further ones are rejected with an error
     * @param maxPacket largest payload of a client's packet, in bytes
     * @param maxStatements maximum of prepared statements of one client
     * @param connectionsPerEngine maximum of connections to one engine
     * @param connectTimeoutMs timeout for opening a connection to an engine, and for the login on it
     * @param idleMs time without use after which a connection to an engine is closed
     * @param maxAttempts maximum of attempts for a statement that may be retried
     */
    public record Bounds(
            int maxClients,
            int maxPacket,
            int maxStatements,
            int connectionsPerEngine,
            int connectTimeoutMs,
            int idleMs,
            int maxAttempts) {}

    /**
     * A class of statements.
     *
     * @param match pattern that is searched in a statement; a statement has the first class that matches
     * @param latencyObjectiveMs latency objective of a statement
     * @param deadlineMs time after which a statement is answered with an error
     * @param priorityWeight priority weight relative to other classes
     * @param threads threads of an engine that a statement uses
     */
    public record QueryClass(
            String name,
            Pattern match,
            double latencyObjectiveMs,
            double deadlineMs,
            double priorityWeight,
            int threads) {}

    /** Returns the index of a statement's class; the last class is the default, whatever its pattern. */
    int classIndexOf(String text) {
        for (int i = 0; i < classes.size() - 1; i++) {
            if (classes.get(i).match().matcher(text).find()) {
                return i;
            }
        }
        return classes.size() - 1;
    }
}
