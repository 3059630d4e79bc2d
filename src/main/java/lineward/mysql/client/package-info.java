/**
 * The connections of MySQL clients: login ({@code ClientLogin}), commands ({@code ClientCommands}), queries
 * that engines execute ({@code QueryRunner}, {@link lineward.mysql.client.Query}), and replies:
 * {@code ClientReplyWriter} writes them, and {@code SpooledResultSender} sends the spooled ones.
 * {@code SessionState} defines the states of a client's session, {@code CursorState} those of a cursor.
 *
 * <p>This package may use {@code engine}, {@code session} and {@code wire}; the package above it implements
 * {@link lineward.mysql.client.QueryDispatcher}. All code is confined to the event loop and never blocks.
 * These are limited: the number of clients ({@link lineward.mysql.client.ConnectedClients}), the size of a
 * packet, the packets queued behind the current command, and the bytes of long parameters. Results that
 * exceed an attempt's buffer are spooled.
 */
package lineward.mysql.client;
