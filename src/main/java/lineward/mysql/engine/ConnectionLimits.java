package lineward.mysql.engine;

/**
 * Limits on connections to engines.
 *
 * @param connectionsPerEngine largest number of connections for attempts to one engine
 * @param connectTimeoutMs largest time for opening a connection, and for its login, in milliseconds
 */
public record ConnectionLimits(int connectionsPerEngine, int connectTimeoutMs) {}
