package lineward.mysql.engine;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.DecoderException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import lineward.mysql.wire.Auth;
import lineward.mysql.wire.ChannelOperations;
import lineward.mysql.wire.Handshake;
import lineward.mysql.wire.Packets;

/** The login to an engine, from the engine's greeting to its final OK or error packet. */
final class EngineLogin {
    /** The state of the login after one packet. */
    enum Progress {
        /** The login needs another packet. */
        CONTINUES,
        ACCEPTED,
        /** The engine has sent an error packet. */
        REJECTED
    }

    private static final int AUTH_MORE_DATA = 1;
    private static final int FAST_AUTH_SUCCESS = 3;
    private static final int REQUEST_PUBLIC_KEY = 2;

    private final Channel channel;
    private final EngineConfig engine;
    /** Null before the greeting. */
    private byte[] nonce;

    private long threadId;

    EngineLogin(Channel channel, EngineConfig engine) {
        this.channel = channel;
        this.engine = engine;
    }

    /** Returns the engine's thread id of this connection, the argument of KILL QUERY. */
    long threadId() {
        return threadId;
    }

    /**
     * Processes one packet of the engine and sends the response, if any. The caller releases the packet.
     *
     * @throws DecoderException if the packet does not belong to a login or requests an unsupported plugin
     */
    Progress advance(ByteBuf frame) {
        int sequence = Packets.sequence(frame) + 1;
        ByteBuf payload = Packets.payload(frame);
        int type = Packets.firstByte(frame);
        if (type == Packets.ERR) {
            return Progress.REJECTED;
        }
        if (nonce == null) {
            answerGreeting(Handshake.readGreeting(payload), sequence);
        } else if (type == Packets.EOF) {
            switchPlugin(payload.skipBytes(1), sequence);
        } else if (type == AUTH_MORE_DATA) {
            answerMoreData(payload.skipBytes(1), sequence);
        } else if (type == Packets.OK) {
            return Progress.ACCEPTED;
        } else {
            throw new DecoderException("engine sent an unexpected packet during the login");
        }
        return Progress.CONTINUES;
    }

    private void answerGreeting(Handshake.Greeting greeting, int sequence) {
        threadId = greeting.threadId();
        nonce = greeting.nonce();
        String plugin = Auth.isSupported(greeting.plugin()) ? greeting.plugin() : Auth.SHA2;
        byte[] authResponse = Auth.scramble(plugin, engine.password(), nonce);
        int capabilities = Handshake.ENGINE_CAPABILITIES & ~Handshake.CONNECT_WITH_DB;
        Handshake.Login login = new Handshake.Login(capabilities, engine.user(), authResponse, "", plugin);
        ChannelOperations.write(channel, Handshake.login(channel.alloc(), sequence, login));
    }

    private void switchPlugin(ByteBuf payload, int sequence) {
        String plugin = Packets.readCString(payload);
        payload.readBytes(nonce, 0, Math.min(nonce.length, payload.readableBytes()));
        if (!Auth.isSupported(plugin)) {
            throw new DecoderException("engine requested the unsupported authentication plugin " + plugin);
        }
        send(sequence, Auth.scramble(plugin, engine.password(), nonce));
    }

    /**
     * Continues caching_sha2_password. An engine whose cache does not have the password's digest requests the
     * password itself, encrypted with the engine's public key.
     */
    private void answerMoreData(ByteBuf payload, int sequence) {
        if (payload.readableBytes() == 1) {
            if (payload.getByte(payload.readerIndex()) != FAST_AUTH_SUCCESS) {
                send(sequence, new byte[] {REQUEST_PUBLIC_KEY});
            }
            return;
        }
        String publicKey = payload.toString(StandardCharsets.US_ASCII);
        try {
            send(sequence, Auth.encryptPassword(engine.password(), nonce, publicKey));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw new DecoderException("engine's public key is not usable", e);
        }
    }

    private void send(int sequence, byte[] payload) {
        ChannelOperations.write(channel, Handshake.authData(channel.alloc(), sequence, payload));
    }
}
