/**
 * The packets of the MySQL protocol, on connections from clients and to engines: framing
 * ({@link lineward.mysql.wire.PacketDecoder}, {@link lineward.mysql.wire.Packets}), the connection phase
 * ({@link lineward.mysql.wire.Handshake}, {@link lineward.mysql.wire.Auth}), errors
 * ({@link lineward.mysql.wire.SqlError}) and the two formats of results
 * ({@link lineward.mysql.wire.ResultFormat}).
 *
 * <p>It holds no connection and uses Netty only. A {@code PacketDecoder} belongs to one connection and a
 * {@link lineward.mysql.wire.ReplyTracker} to one reply; everything else is stateless and may be used on any
 * thread. Bounds: a payload is at most as long as the {@code PacketDecoder} of its connection allows.
 */
package lineward.mysql.wire;
