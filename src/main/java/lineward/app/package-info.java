/**
 * The program's entry point: commands, configuration files and the wiring of the subsystems.
 *
 * <p>Owns the command line ({@link lineward.app.Main}), the two configuration files and one wiring class for
 * each subsystem; it handles no requests itself. It may use every other package, and no package uses it.
 *
 * <p>Threads: one event loop serves all connections of the process. The main thread starts the servers, and a
 * shutdown hook ends the process. Signals arrive on other threads, which pass them to the event loop.
 *
 * <p>Bounds: the limits on open requests, client and engine connections, and the memory for statements and
 * responses follow from the configuration, in {@link lineward.app.ThriftWiring} and {@link
 * lineward.app.MysqlConfigReader}. Design: docs/architecture.md.
 */
package lineward.app;
