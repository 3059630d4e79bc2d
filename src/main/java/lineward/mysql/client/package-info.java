/**
 * Connections of MySQL clients: the login ({@code ClientLogin}), the commands ({@code ClientCommands}), the
 * queries that engines execute ({@code QueryRunner}, {@link lineward.mysql.client.Query}), and the replies,
 * which come from an engine ({@code ReplyWriter}) or from the spool ({@code SpoolStream}).
 * {@code SessionState} has the states of a client's session, {@code CursorState} those of a cursor.
 *
 * <p>It may use {@code engine}, {@code session} and {@code wire}; the server above it implements
 * {@link lineward.mysql.client.QueryDispatcher}. Everything is confined to the event loop and never blocks.
 * Bounds: clients ({@link lineward.mysql.client.ConnectedClients}), the size of a packet, packets that wait
 * for the current command, and bytes of long parameters; results that exceed an attempt's buffer are in the
 * spool.
 */
package lineward.mysql.client;
