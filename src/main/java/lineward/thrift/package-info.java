/**
 * The platform's protocol server: clients use framed Thrift in the strict binary protocol, engines use the
 * line protocol of {@code lineward.engine}, and one {@code Coordinator} decides what happens to each request.
 *
 * <p>The package owns the connections of clients, the bytes of their statements and responses, and the ids
 * of their requests. {@link lineward.thrift.ThriftServer} creates the other classes and connects them.
 * {@code ThriftProtocol} and {@code CallField} hold all names and codes of the wire protocol; {@code
 * ThriftReader} decodes requests and {@code ThriftWriter} encodes responses.
 *
 * <p>The package may use {@code core}, {@code engine}, {@code frontend}, {@code operations} and {@code
 * scheduling}. All methods except {@code ThriftServer.listen} run on the one event loop.
 *
 * <p>Bounds: client connections, bytes of statements and bytes of unread responses ({@code
 * ThriftServer.Bounds}), bytes of a frame, open requests of a client, and fields of a request. The design is
 * described in {@code docs/architecture.md}.
 */
package lineward.thrift;
