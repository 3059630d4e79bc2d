/**
 * The program's entry point: commands, configuration files and the wiring of the subsystems.
 *
 * <p>Owns the command line ({@link lineward.app.Main}), the two configuration files and one wiring class for
 * each subsystem; it decides nothing about requests. It may use every other package, and none uses it.
 *
 * <p>Threads: one event loop serves all connections of the process; the main thread only starts it and waits
 * on it, a shutdown hook ends it. Signals arrive on threads of their own and are handed to the event loop.
 *
 * <p>Bounds: open requests, client and engine connections and the memory for statements and responses follow
 * from the configuration, in {@link lineward.app.ThriftWiring} and {@link lineward.app.MysqlConfigReader}.
 * Design note: {@code docs/architecture.md}.
 */
package lineward.app;
