package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.DecoderException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;

/** The client's side of one login at an engine, from the engine's greeting to its answer. */
final class EngineLogin {
    /** How far a login has come. */
    enum Progress {
        /** Another packet of the engine is awaited. */
        CONTINUES,
        ACCEPTED,
        /** The engine has answered with an error packet. */
        REJECTED
    }

    private static final int AUTH_MORE_DATA = 1;
    private static final int FAST_AUTH_SUCCESS = 3;
    private static final int REQUEST_PUBLIC_KEY = 2;

    private final Channel channel;
    private final MysqlConfig.Engine engine;
    /** Null until the greeting has come. */
    private byte[] nonce;

    private long threadId;

    EngineLogin(Channel channel, MysqlConfig.Engine engine) {
        this.channel = channel;
        this.engine = engine;
    }

    /** Returns the engine's id of this connection, by which its statements are killed. */
    long threadId() {
        return threadId;
    }

    /**
     * Answers one packet of the engine, which stays the caller's.
     *
     * @throws DecoderException if the packet has no place in a login or the engine asks for what is unknown
     */
    Progress advance(ByteBuf frame) {
        int sequence = Packets.sequence(frame) + 1;
        ByteBuf payload = Packets.payload(frame);
        int type = Packets.first(frame);
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
            throw new DecoderException("unknown packet in a login");
        }
        return Progress.CONTINUES;
    }

    private void answerGreeting(Handshake.Greeting greeting, int sequence) {
        threadId = greeting.thread();
        nonce = greeting.nonce();
        String plugin = Auth.isSupported(greeting.plugin()) ? greeting.plugin() : Auth.SHA2;
        byte[] proof = Auth.proof(plugin, engine.password(), nonce);
        int capabilities = Handshake.CAPABILITIES & ~Handshake.WITH_DB;
        Handshake.Login login = new Handshake.Login(capabilities, engine.user(), proof, "", plugin);
        ChannelOperations.write(channel, Handshake.login(channel.alloc(), sequence, login));
    }

    private void switchPlugin(ByteBuf payload, int sequence) {
        String plugin = Packets.zeroEnded(payload);
        payload.readBytes(nonce, 0, Math.min(nonce.length, payload.readableBytes()));
        if (!Auth.isSupported(plugin)) {
            throw new DecoderException("engine asks for the plugin " + plugin);
        }
        send(sequence, Auth.proof(plugin, engine.password(), nonce));
    }

    /** An engine that has not cached the password's digest sends its public key to get the password. */
    private void answerMoreData(ByteBuf payload, int sequence) {
        if (payload.readableBytes() == 1) {
            if (payload.getByte(payload.readerIndex()) != FAST_AUTH_SUCCESS) {
                send(sequence, new byte[] {REQUEST_PUBLIC_KEY});
            }
            return;
        }
        String publicKey = payload.toString(StandardCharsets.US_ASCII);
        try {
            send(sequence, Auth.sealed(engine.password(), nonce, publicKey));
        } catch (GeneralSecurityException | IllegalArgumentException e) {
            throw new DecoderException("engine's key can't be used", e);
        }
    }

    private void send(int sequence, byte[] payload) {
        ChannelOperations.write(channel, Handshake.bytes(channel.alloc(), sequence, payload));
    }
}
