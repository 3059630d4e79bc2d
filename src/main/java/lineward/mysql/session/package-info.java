/**
 * The state of one client's session, independent of its connection: its settings
 * ({@link lineward.mysql.session.SessionSettings}), its prepared statements
 * ({@link lineward.mysql.session.PreparedStatements}), the classification of statements
 * ({@link lineward.mysql.session.StatementKind}) and the commands that engines execute for it
 * ({@link lineward.mysql.session.Work}).
 *
 * <p>It may use {@code wire} and, from {@code core}, the SQL tokenizer and the byte budget. It does no I/O,
 * and a session is used on the event loop only. Bounds: the number and the length of a session's settings;
 * the number of a client's prepared statements, and the total size of the texts of all clients' prepared
 * statements, see {@link lineward.mysql.session.StatementLimits}.
 */
package lineward.mysql.session;
