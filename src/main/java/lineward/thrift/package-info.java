/**
 * The platform's front end: clients speak framed Thrift in the strict binary protocol, engines the line
 * protocol of {@code lineward.engine}, and one {@code Coordinator} decides what happens to each request.
 *
 * <p>Owns the connections of clients, the bytes of their statements and responses, and the ids of their
 * requests; {@link lineward.thrift.ThriftServer} creates and connects the classes. {@code ThriftProtocol} and
 * {@code CallField} hold every word of the wire; {@code ThriftReader} decodes requests and {@code
 * ThriftWriter} encodes responses.
 *
 * <p>May use {@code core}, {@code engine}, {@code frontend} and {@code operations}. Everything but
 * {@code ThriftServer.listen} runs on the one event loop.
 *
 * <p>Bounded: client connections, bytes of statements, bytes of unread responses ({@code Bounds}), a client's
 * frame, its open requests and the fields of a request. The design is described in docs/architecture.md.
 */
package lineward.thrift;
