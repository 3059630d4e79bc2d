package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.DecoderException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** The packets with which a connection begins: those of the client side and those of the engine side. */
final class Handshake {
    static final int LONG_PASSWORD = 0x1;
    static final int WITH_DB = 0x8;
    static final int PROTOCOL_41 = 0x200;
    static final int SSL = 0x800;
    static final int TRANSACTIONS = 0x2000;
    static final int SECURE = 0x8000;
    static final int PLUGIN_AUTH = 0x80000;
    static final int PLUGIN_DATA = 0x200000;
    /**
     * What the front and its engines agree on: no shortened EOF, no session tracking, no query attributes,
     * one statement and one result at a time. With clients that agree on the same a result passes as it came.
     */
    static final int CAPABILITIES = PROTOCOL_41
            | LONG_PASSWORD
            | WITH_DB // the login's form
            | TRANSACTIONS
            | SECURE
            | PLUGIN_AUTH;
    /** Results without the packet behind their columns, and with another one behind their rows. */
    static final int DEPRECATE_EOF = 0x1000000;
    /** What clients are offered: the front writes their replies anew where they differ from the engine's. */
    static final int OFFERED = CAPABILITIES | DEPRECATE_EOF;

    static final int UTF8MB4 = 45;
    private static final int VERSION = 10;
    private static final int NONCE_HEAD = 8;
    private static final int LOGIN_RESERVED_BYTES = 23;
    private static final int GREETING_RESERVED_BYTES = 10;
    /** Shortest second part of a nonce on the wire, with the zero byte that ends it. */
    private static final int MIN_NONCE_TAIL = 13;

    private static final int MAX_PACKET_BYTES = 1 << 24;

    /** An engine's first packet. */
    @SuppressWarnings("ArrayRecordComponent") // Never compared, and its array never changes.
    record Greeting(long thread, byte[] nonce, String plugin) {}

    /** The packet with which a client answers; the schema is empty if none was asked for. */
    @SuppressWarnings("ArrayRecordComponent") // Never compared, and its array never changes.
    record Login(int capabilities, String user, byte[] proof, String schema, String plugin) {}

    private Handshake() {}

    /** Returns the greeting that a client receives first. */
    static ByteBuf greeting(ByteBufAllocator alloc, String version, int thread, byte[] nonce) {
        ByteBuf out = Packets.begin(alloc, 0).writeByte(VERSION);
        text(out, version);
        out.writeIntLE(thread).writeBytes(nonce, 0, NONCE_HEAD).writeByte(0);
        out.writeShortLE(OFFERED).writeByte(UTF8MB4).writeShortLE(Packets.AUTOCOMMIT);
        out.writeShortLE(OFFERED >>> 16).writeByte(nonce.length + 1).writeZero(GREETING_RESERVED_BYTES);
        out.writeBytes(nonce, NONCE_HEAD, nonce.length - NONCE_HEAD).writeByte(0);
        text(out, Auth.SHA2);
        return Packets.done(out);
    }

    /**
     * Reads the greeting of an engine.
     *
     * @throws DecoderException if it is malformed
     */
    static Greeting readGreeting(ByteBuf in) {
        try {
            if (in.readUnsignedByte() != VERSION) {
                throw new DecoderException("not version 10 of the protocol");
            }
            Packets.zeroEnded(in);
            long thread = in.readUnsignedIntLE();
            byte[] head = new byte[NONCE_HEAD];
            in.readBytes(head).skipBytes(1);
            int capabilities = in.readUnsignedShortLE();
            in.skipBytes(3);
            capabilities |= in.readUnsignedShortLE() << 16;
            int length = Math.max(MIN_NONCE_TAIL, in.readUnsignedByte() - NONCE_HEAD);
            in.skipBytes(GREETING_RESERVED_BYTES);
            byte[] tail = new byte[Math.min(length, in.readableBytes())];
            in.readBytes(tail);
            byte[] nonce = Arrays.copyOf(head, Auth.NONCE);
            System.arraycopy(tail, 0, nonce, NONCE_HEAD, Math.min(tail.length, Auth.NONCE - NONCE_HEAD));
            String plugin = (capabilities & PLUGIN_AUTH) != 0 ? Packets.zeroEnded(in) : Auth.NATIVE;
            return new Greeting(thread, nonce, plugin);
        } catch (IndexOutOfBoundsException e) {
            throw new DecoderException("greeting ends early", e);
        }
    }

    /** Returns the login that answers an engine's greeting. */
    static ByteBuf login(ByteBufAllocator alloc, int sequence, Login login) {
        ByteBuf out = Packets.begin(alloc, sequence)
                .writeIntLE(login.capabilities())
                .writeIntLE(MAX_PACKET_BYTES)
                .writeByte(UTF8MB4)
                .writeZero(LOGIN_RESERVED_BYTES);
        text(out, login.user());
        out.writeByte(login.proof().length).writeBytes(login.proof());
        if ((login.capabilities() & WITH_DB) != 0) {
            text(out, login.schema());
        }
        text(out, login.plugin());
        return Packets.done(out);
    }

    /**
     * Reads the login of a client.
     *
     * @throws DecoderException if it is malformed, asks for TLS, or is of a protocol before 4.1
     */
    static Login readLogin(ByteBuf in) {
        try {
            int capabilities = in.readIntLE();
            if ((capabilities & PROTOCOL_41) == 0 || (capabilities & SSL) != 0) {
                throw new DecoderException("client does not speak protocol 4.1 in the clear");
            }
            in.skipBytes(4 + 1 + LOGIN_RESERVED_BYTES);
            String user = Packets.zeroEnded(in);
            boolean lengthEncoded = (capabilities & PLUGIN_DATA) != 0;
            int length = lengthEncoded ? (int) Packets.lengthEncoded(in) : in.readUnsignedByte();
            if (length < 0 || length > in.readableBytes()) {
                throw new DecoderException("proof of " + length + " bytes");
            }
            byte[] proof = new byte[length];
            in.readBytes(proof);
            String schema = (capabilities & WITH_DB) != 0 ? Packets.zeroEnded(in) : "";
            String plugin = (capabilities & PLUGIN_AUTH) != 0 ? Packets.zeroEnded(in) : Auth.NATIVE;
            return new Login(capabilities, user, proof, schema, plugin);
        } catch (IndexOutOfBoundsException e) {
            throw new DecoderException("login ends early", e);
        }
    }

    /** Returns the request to prove the password by another plugin. */
    static ByteBuf switchTo(ByteBufAllocator alloc, int sequence, String plugin, byte[] nonce) {
        ByteBuf out = Packets.begin(alloc, sequence).writeByte(Packets.EOF);
        text(out, plugin);
        return Packets.done(out.writeBytes(nonce).writeByte(0));
    }

    /** Returns a packet with this payload. */
    static ByteBuf bytes(ByteBufAllocator alloc, int sequence, byte[] bytes) {
        return Packets.done(Packets.begin(alloc, sequence).writeBytes(bytes));
    }

    private static void text(ByteBuf out, String text) {
        out.writeCharSequence(text, StandardCharsets.UTF_8);
        out.writeByte(0);
    }
}
