package lineward.mysql.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.DecoderException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The packets of the connection phase, on connections from clients and on connections to engines. */
public final class Handshake {
    public static final int LONG_PASSWORD = 0x1;
    public static final int CONNECT_WITH_DB = 0x8;
    public static final int PROTOCOL_41 = 0x200;
    public static final int SSL = 0x800;
    public static final int TRANSACTIONS = 0x2000;
    public static final int SECURE_CONNECTION = 0x8000;
    public static final int PLUGIN_AUTH = 0x80000;
    public static final int PLUGIN_AUTH_LENENC_DATA = 0x200000;
    /**
     * The capabilities used with engines: EOF packets, no session tracking, no query attributes, one
     * statement and one result for each command. A client with these capabilities gets the results unchanged.
     */
    public static final int ENGINE_CAPABILITIES = PROTOCOL_41
            | LONG_PASSWORD
            | CONNECT_WITH_DB // the login packet has a schema field
            | TRANSACTIONS
            | SECURE_CONNECTION
            | PLUGIN_AUTH;
    /** Results have no EOF packet after the columns, and an OK packet instead of EOF after the rows. */
    public static final int DEPRECATE_EOF = 0x1000000;
    /** The capabilities offered to clients; {@link ResultFormat} converts the engines' replies. */
    public static final int OFFERED_CAPABILITIES = ENGINE_CAPABILITIES | DEPRECATE_EOF;

    /** Number of the collation utf8mb4_general_ci. */
    public static final int UTF8MB4_COLLATION = 45;
    /** The server version that clients see. */
    public static final String SERVER_VERSION = "8.0.36-lineward";

    private static final int PROTOCOL_VERSION = 10;
    private static final int NONCE_HEAD_BYTES = 8;
    private static final int LOGIN_RESERVED_BYTES = 23;
    private static final int GREETING_RESERVED_BYTES = 10;
    /** Minimum length of the second part of the nonce in a greeting, including its final zero byte. */
    private static final int MIN_NONCE_TAIL_BYTES = 13;

    private static final int MAX_PACKET_BYTES = 1 << 24;

    /** The content of a server's greeting, its first packet; the thread is the id of the connection. */
    @SuppressWarnings("ArrayRecordComponent") // Records are not compared and the arrays never change.
    public record Greeting(long threadId, byte[] nonce, String plugin) {}

    /** The content of a client's login packet; the schema is empty if the client selects none. */
    @SuppressWarnings("ArrayRecordComponent") // Records are not compared and the arrays never change.
    public record Login(int capabilities, String user, byte[] authResponse, String schema, String plugin) {}

    private Handshake() {}

    /** Returns the greeting, the first packet on a client's connection. */
    public static ByteBuf greeting(ByteBufAllocator alloc, int threadId, byte[] nonce) {
        ByteBuf packet = Packets.begin(alloc, 0).writeByte(PROTOCOL_VERSION);
        writeCString(packet, SERVER_VERSION);
        packet.writeIntLE(threadId).writeBytes(nonce, 0, NONCE_HEAD_BYTES).writeByte(0);
        packet.writeShortLE(OFFERED_CAPABILITIES)
                .writeByte(UTF8MB4_COLLATION)
                .writeShortLE(Packets.SERVER_STATUS_AUTOCOMMIT);
        packet.writeShortLE(OFFERED_CAPABILITIES >>> 16)
                .writeByte(nonce.length + 1)
                .writeZero(GREETING_RESERVED_BYTES);
        packet.writeBytes(nonce, NONCE_HEAD_BYTES, nonce.length - NONCE_HEAD_BYTES)
                .writeByte(0);
        writeCString(packet, Auth.SHA2);
        return Packets.finish(packet);
    }

    /**
     * Reads the greeting of an engine.
     *
     * @throws DecoderException if it is malformed
     */
    public static Greeting readGreeting(ByteBuf payload) {
        try {
            if (payload.readUnsignedByte() != PROTOCOL_VERSION) {
                throw new DecoderException("not version 10 of the protocol");
            }
            Packets.readCString(payload);
            long threadId = payload.readUnsignedIntLE();
            byte[] head = new byte[NONCE_HEAD_BYTES];
            payload.readBytes(head).skipBytes(1);
            int capabilities = payload.readUnsignedShortLE();
            payload.skipBytes(3);
            capabilities |= payload.readUnsignedShortLE() << 16;
            int length = Math.max(MIN_NONCE_TAIL_BYTES, payload.readUnsignedByte() - NONCE_HEAD_BYTES);
            payload.skipBytes(GREETING_RESERVED_BYTES);
            byte[] tail = new byte[Math.min(length, payload.readableBytes())];
            payload.readBytes(tail);
            byte[] nonce = Arrays.copyOf(head, Auth.NONCE_BYTES);
            int tailBytes = Math.min(tail.length, Auth.NONCE_BYTES - NONCE_HEAD_BYTES);
            System.arraycopy(tail, 0, nonce, NONCE_HEAD_BYTES, tailBytes);
            String plugin = (capabilities & PLUGIN_AUTH) != 0 ? Packets.readCString(payload) : Auth.NATIVE;
            return new Greeting(threadId, nonce, plugin);
        } catch (IndexOutOfBoundsException e) {
            throw new DecoderException("greeting ends early", e);
        }
    }

    /** Returns the login packet for an engine. */
    public static ByteBuf login(ByteBufAllocator alloc, int sequence, Login login) {
        ByteBuf packet = Packets.begin(alloc, sequence)
                .writeIntLE(login.capabilities())
                .writeIntLE(MAX_PACKET_BYTES)
                .writeByte(UTF8MB4_COLLATION)
                .writeZero(LOGIN_RESERVED_BYTES);
        writeCString(packet, login.user());
        packet.writeByte(login.authResponse().length).writeBytes(login.authResponse());
        if ((login.capabilities() & CONNECT_WITH_DB) != 0) {
            writeCString(packet, login.schema());
        }
        writeCString(packet, login.plugin());
        return Packets.finish(packet);
    }

    /**
     * Reads a client's login packet.
     *
     * @throws DecoderException if the packet is malformed, requests TLS, or uses a protocol before 4.1
     */
    public static Login readLogin(ByteBuf payload) {
        try {
            int capabilities = payload.readIntLE();
            if ((capabilities & PROTOCOL_41) == 0 || (capabilities & SSL) != 0) {
                throw new DecoderException("client does not speak protocol 4.1 in the clear");
            }
            payload.skipBytes(4 + 1 + LOGIN_RESERVED_BYTES);
            String user = Packets.readCString(payload);
            boolean isLenenc = (capabilities & PLUGIN_AUTH_LENENC_DATA) != 0;
            int length = isLenenc ? (int) Packets.readLengthEncodedInt(payload) : payload.readUnsignedByte();
            if (length < 0 || length > payload.readableBytes()) {
                throw new DecoderException("proof of " + length + " bytes");
            }
            byte[] authResponse = new byte[length];
            payload.readBytes(authResponse);
            String schema = (capabilities & CONNECT_WITH_DB) != 0 ? Packets.readCString(payload) : "";
            String plugin = (capabilities & PLUGIN_AUTH) != 0 ? Packets.readCString(payload) : Auth.NATIVE;
            return new Login(capabilities, user, authResponse, schema, plugin);
        } catch (IndexOutOfBoundsException e) {
            throw new DecoderException("login ends early", e);
        }
    }

    /** Returns the packet that asks the client to authenticate with this plugin instead. */
    public static ByteBuf authSwitch(ByteBufAllocator alloc, int sequence, String plugin, byte[] nonce) {
        ByteBuf packet = Packets.begin(alloc, sequence).writeByte(Packets.EOF);
        writeCString(packet, plugin);
        return Packets.finish(packet.writeBytes(nonce).writeByte(0));
    }

    /** Returns a packet of the authentication exchange with this payload. */
    public static ByteBuf authData(ByteBufAllocator alloc, int sequence, byte[] payload) {
        return Packets.finish(Packets.begin(alloc, sequence).writeBytes(payload));
    }

    private static void writeCString(ByteBuf packet, String text) {
        packet.writeCharSequence(text, StandardCharsets.UTF_8);
        packet.writeByte(0);
    }
}
