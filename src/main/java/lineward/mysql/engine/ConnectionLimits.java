package lineward.mysql.engine;

import lineward.core.ByteBudget;

/**
 * Limits on connections to engines.
 *
 * @param connectionsPerEngine maximum number of connections to one engine; only a kill may exceed it
 * @param connectTimeoutMs timeout for opening a connection and completing its login, in milliseconds
 * @param replyBudget bytes of buffered replies, shared by the connections to all engines
 */
public record ConnectionLimits(int connectionsPerEngine, int connectTimeoutMs, ByteBudget replyBudget) {}
