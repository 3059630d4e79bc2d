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
 * @param listenAddress address for clients; null: the front end is disabled
 * @param passwordsByUser passwords by user name
 */
public record MysqlConfig(
        InetSocketAddress listenAddress,
        Limits limits,
        MemoryLimits memory,
        Map<String, String> passwordsByUser,
        List<EngineConfig> engines,
        List<QueryClass> classes,
        SpoolConfig spool) {

    /**
     * Settings of the result spool.
     *
     * @param folder directory for the spool's files; null: results are spooled in memory only
     */
    public record SpoolConfig(SpoolLimits limits, Path folder) {}

    /**
     * Limits and timeouts of connections and statements.
     *
     * @param maxClients maximum number of client connections; further ones are rejected with an error
     * @param maxPacketBytes maximum payload of a packet from a client, in bytes
     * @param maxStatements maximum number of prepared statements of one client
     * @param connectionsPerEngine maximum number of connections to one engine for attempts
     * @param connectTimeoutMs timeout for opening a connection to an engine and completing its login
     * @param idleTimeoutMs idle timeout of a connection to an engine
     * @param maxAttempts maximum number of attempts for a statement that may be retried
     */
    public record Limits(
            int maxClients,
            int maxPacketBytes,
            int maxStatements,
            int connectionsPerEngine,
            int connectTimeoutMs,
            int idleTimeoutMs,
            int maxAttempts) {}

    /**
     * Limits on the memory that all clients use together.
     *
     * @param maxReceiveBytes maximum bytes that are buffered for packets that can't be processed yet
     * @param maxStatementBytes maximum bytes of the open statements; further ones are rejected
     * @param maxPreparedBytes maximum bytes of the prepared statements, with their long parameters
     * @param maxReplyBytes maximum bytes of the replies of engines that are not complete and not spooled
     * @param maxUnreadBytes bytes of replies that clients have not read from which no more are sent
     */
    public record MemoryLimits(
            long maxReceiveBytes,
            long maxStatementBytes,
            long maxPreparedBytes,
            long maxReplyBytes,
            long maxUnreadBytes) {}

    /**
     * A class of statements.
     *
     * @param pattern regular expression that is searched for in the text of a statement; a statement belongs
     *     to
     *     the first class whose expression is found
     * @param latencyObjectiveMs latency objective of a statement
     * @param deadlineMs time after which a statement that is not completed is answered with an error
     * @param priorityWeight priority weight of a statement relative to those of other classes
     * @param threads number of engine threads that a statement uses
     */
    public record QueryClass(
            String name,
            Pattern pattern,
            double latencyObjectiveMs,
            double deadlineMs,
            double priorityWeight,
            int threads) {}

    /** Returns the index of a statement's class. The last class is the default; its pattern is ignored. */
    int classIndexOf(String text) {
        for (int i = 0; i < classes.size() - 1; i++) {
            if (classes.get(i).pattern().matcher(text).find()) {
                return i;
            }
        }
        return classes.size() - 1;
    }
}
