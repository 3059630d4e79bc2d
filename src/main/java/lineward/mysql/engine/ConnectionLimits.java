package lineward.mysql.engine;

/**
 * Limits on connections to engines.
 *
 * @param connectionsPerEngine maximum number of connections to one engine; only a kill may exceed it
 * @param connectTimeoutMs timeout for opening a connection and completing its login, in milliseconds
 */
public record ConnectionLimits(int connectionsPerEngine, int connectTimeoutMs) {}
