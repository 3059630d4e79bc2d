/**
 * The platform's protocol server: clients use framed Thrift in the strict binary protocol, engines use the
 * line protocol of {@code lineward.engine}, and one {@code Coordinator} decides what happens to each request.
 *
 * <p>Owns the connections of clients, the bytes of their statements and responses, and the ids of their
 * requests; {@link lineward.thrift.ThriftServer} creates and connects the classes. {@code ThriftProtocol} and
 * {@code CallField} hold all names and codes of the wire protocol; {@code ThriftReader} decodes requests and
 * {@code ThriftWriter} encodes responses.
 *
 * <p>May use {@code core}, {@code engine}, {@code frontend} and {@code operations}. All methods
 * except {@code ThriftServer.listen} run on the one event loop.
 *
 * <p>Bounds apply to client connections, bytes of statements and bytes of unread responses ({@code Bounds}),
 * to a frame, the open requests of a client and the fields of a request. The design is described in
 * docs/architecture.md.
 */
package lineward.thrift;
