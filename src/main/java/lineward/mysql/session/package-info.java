/**
 * The session of one client, as far as it is independent of connections: its settings
 * ({@link lineward.mysql.session.SessionSettings}), its prepared statements
 * ({@link lineward.mysql.session.PreparedStatements}), the classification of statements
 * ({@link lineward.mysql.session.StatementKind}) and the work that an engine does for it
 * ({@link lineward.mysql.session.Work}).
 *
 * <p>It may use {@code wire} and the tokens of {@code core}, and does no I/O. A session is used on the event
 * loop only. Bounds: settings of a session and their lengths; prepared statements of a client and the bytes
 * of all their texts, see {@link lineward.mysql.session.StatementLimits}.
 */
package lineward.mysql.session;
