/**
 * The MySQL front end. Clients log in to {@link lineward.mysql.MysqlServer} and send statements, each of
 * which a coordinator assigns to an engine.
 *
 * <p>It owns the sessions of clients (login, settings, prepared statements, cursors), the connections to
 * engines, and the packets of the protocol. It may use the core, scheduling, frontend, operations and
 * spool packages. All of it runs on the event loop and never blocks; {@code SessionState} and {@code
 * EngineLink} hold the states of the two kinds of connections.
 *
 * <p>Bounded are the clients, the packets that wait for one of them, a packet's size, the prepared
 * statements of a client and the bytes of their texts, the settings of a session, and the connections to
 * an engine; long results go to the spool, which has bounds of its own. See {@code docs/architecture.md}.
 */
package lineward.mysql;
