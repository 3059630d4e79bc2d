/**
 * The platform's front end: clients speak framed Thrift in the strict binary protocol, engines the line
 * protocol of {@code lineward.engine}, and one {@code Coordinator} decides what happens to each request.
 *
 * <p>Owns the connections of clients, the bytes of their statements and responses, and the ids of their
 * requests; {@link lineward.thrift.ThriftServer} puts the classes together. {@code ThriftProtocol} names the
 * words of the wire, and only {@code ThriftReader}, {@code ThriftWriter} and {@code CallField} use them.
 *
 * <p>May use {@code core}, {@code engine}, {@code frontend} and {@code operations}. Everything but
 * {@code ThriftServer.listen} runs on the one event loop.
 *
 * <p>Bounded: client connections, bytes of statements, bytes of unread responses ({@code Bounds}), a client's
 * frame, its open requests and the fields of a request. Design note: docs/architecture.md.
 */
package lineward.thrift;
