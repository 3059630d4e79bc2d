package lineward.mysql;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import lineward.scheduling.EndpointState;
import lineward.spool.SpoolLimits;

/**
 * What the MySQL front is told.
 *
 * @param listen where clients connect; null: the front is off
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
     * @param maxPacket largest packet of a client
     */
    public record Bounds(
            int maxClients,
            int maxPacket,
            int maxStatements,
            int linksPerEngine,
            int connectTimeoutMs,
            int idleMs,
            int maxAttempts) {}

    /** One engine. */
    public record Engine(
            String name, InetSocketAddress address, String user, String password, int cores, EndpointState condition) {}

    /**
     * A class of statements.
     *
     * @param match finds the statements of this class; the first class that matches is taken
     */
    public record QueryClass(String name, Pattern match, double aimMs, double deadlineMs, double worth, int threads) {}

    /** Returns the place of the class of a statement. */
    int classOf(String text) {
        for (int i = 0; i < classes.size() - 1; i++) {
            if (classes.get(i).match().matcher(text).find()) {
                return i;
            }
        }
        return classes.size() - 1;
    }
}
