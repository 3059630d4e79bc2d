package lineward.mysql;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import lineward.scheduling.EndpointState;
import lineward.spool.SpoolLimits;

/**
 * The configuration of the MySQL front end.
 *
 * @param listen address on which clients connect; null: the front end is off
 * @param users passwords by name
 * @param spool where results are spooled
 */
public record MysqlConfig(
        InetSocketAddress listen,
        Bounds bounds,
        Map<String, String> users,
        List<Engine> engines,
        List<QueryClass> classes,
        Spooling spool) {

    /**
     * Where results are spooled.
     *
     * @param folder null: memory alone
     */
    public record Spooling(SpoolLimits limits, Path folder) {}

    /**
     * Limits of connections, statements and packets.
     *
     * @param maxClients client connections; one more is told that there are too many
     * @param maxPacket largest payload of a client's packet, in bytes
     * @param maxStatements prepared statements of one client
     * @param connectionsPerEngine connections to one engine
     * @param connectTimeoutMs how long a connection to an engine may take to open
     * @param idleMs how long a connection to an engine may stay unused before it is closed
     * @param maxAttempts attempts for one statement that may be retried
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
     * One engine.
     *
     * @param name unique among the engines
     * @param user that this server logs in as
     * @param state whether it takes new statements
     */
    public record Engine(
            String name,
            InetSocketAddress address,
            String user,
            String password,
            int cores, // by which its concurrency limit is set
            EndpointState state) {}

    /**
     * A class of statements.
     *
     * @param match finds the statements of this class; the first class that matches counts
     * @param latencyObjectiveMs latency objective
     * @param deadlineMs time behind which a statement is answered with an error
     * @param priorityWeight priority weight against other classes
     * @param threads of an engine that a statement occupies
     */
    public record QueryClass(
            String name,
            Pattern match,
            double latencyObjectiveMs, // the key in the deploy file has this name
            double deadlineMs,
            double priorityWeight,
            int threads) {}

    /** Returns the index of the class of a statement; the last class takes what no other matches. */
    int classOf(String text) {
        for (int i = 0; i < classes.size() - 1; i++) {
            if (classes.get(i).match().matcher(text).find()) {
                return i;
            }
        }
        return classes.size() - 1;
    }
}
