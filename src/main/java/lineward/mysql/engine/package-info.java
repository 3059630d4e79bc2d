/**
 * Connections to MySQL engines and the attempts on them. {@link lineward.mysql.engine.EngineConnectionPools}
 * has a pool for each engine; {@code EngineConnection} logs in, brings the engine's session into the state
 * that an attempt needs, and executes it; {@code ConnectionState} has the transitions of a connection.
 * {@link lineward.mysql.engine.QueryAttempt} buffers or spools the reply and reports to an
 * {@link lineward.mysql.engine.AttemptListener}. It has no reference to clients.
 *
 * <p>It may use {@code session} and {@code wire}. Everything is confined to the event loop and never blocks.
 * Bounds: connections for each engine ({@link lineward.mysql.engine.ConnectionLimits}), 64 prepared
 * statements for each connection, 64 KiB of buffered reply for each attempt; longer replies go to the spool.
 */
package lineward.mysql.engine;
