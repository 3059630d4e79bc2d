/**
 * Connections to MySQL engines, and the attempts that run on them.
 * {@link lineward.mysql.engine.EngineConnectionPools} has a connection pool for each engine.
 * {@code MysqlEngineConnection} logs in, prepares the engine's session for an attempt and executes it;
 * {@code MysqlConnectionState} defines its states.
 * {@link lineward.mysql.engine.MysqlQueryAttempt} buffers or spools the reply and notifies an
 * {@link lineward.mysql.engine.AttemptListener}. This package has no reference to clients.
 *
 * <p>This package may use {@code session} and {@code wire}. All code is confined to the event loop and never
 * blocks. These are limited: connections for each engine ({@link lineward.mysql.engine.ConnectionLimits}), 64
 * prepared statements for each connection, and 64 KiB of buffered reply for each attempt; longer replies are
 * spooled.
 */
package lineward.mysql.engine;
