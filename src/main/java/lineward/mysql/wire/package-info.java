/**
 * The packets of the MySQL protocol, for connections of clients and connections to engines: framing
 * ({@link lineward.mysql.wire.PacketDecoder}, {@link lineward.mysql.wire.Packets}), the connection phase
 * ({@link lineward.mysql.wire.Handshake}, {@link lineward.mysql.wire.Auth}), errors
 * ({@link lineward.mysql.wire.Failure}) and the two formats of results ({@link lineward.mysql.wire.Dialect}).
 *
 * <p>It holds no connection and uses Netty only. {@link lineward.mysql.wire.ReplyTracker} belongs to one
 * reply; everything else is stateless and may be used on any thread. Bounds: a payload is at most as long as
 * its {@code PacketDecoder} allows.
 */
package lineward.mysql.wire;
