/**
 * The MySQL front end. {@link lineward.mysql.MysqlServer} connects the clients ({@code client}), the engines
 * ({@code engine}), the spool and a coordinator, which schedules the clients' queries.
 * {@link lineward.mysql.MysqlConfig} is its configuration.
 *
 * <p>The sub-packages, from the top down: {@code client}, {@code engine}, {@code session}, {@code wire}; each
 * uses those after it only. The front end may use the core, scheduling, frontend, operations and spool
 * packages. All of it runs on the event loop and never blocks. The bounds are
 * {@link lineward.mysql.MysqlConfig.Limits}, those of each sub-package, and those of the spool. See
 * {@code docs/architecture.md}.
 */
package lineward.mysql;
