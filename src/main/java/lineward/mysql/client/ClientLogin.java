package lineward.mysql.client;

import io.netty.buffer.ByteBuf;
import java.util.Map;
import lineward.mysql.wire.Auth;
import lineward.mysql.wire.Dialect;
import lineward.mysql.wire.Handshake;

/** The login of one client: reads its packets and verifies the password. Does no I/O. */
final class ClientLogin {
    /** The result of one packet of the login. */
    enum Outcome {
        /** The client must authenticate by {@link Auth#NATIVE}. */
        SWITCH_REQUIRED,
        DENIED,
        ACCEPTED
    }

    private final Map<String, String> passwords;
    private final byte[] nonce = Auth.newNonce();
    /** Null before the login packet. */
    private Handshake.Login login;

    private boolean awaitsFastAuthConfirmation;

    /** @param passwords passwords by user name */
    ClientLogin(Map<String, String> passwords) {
        this.passwords = passwords;
    }

    byte[] nonce() {
        return nonce;
    }

    /** Returns the user name; only after the login packet. */
    String user() {
        return login.user();
    }

    /** Returns the schema that the client selects; empty if none. */
    String schema() {
        return login.schema();
    }

    Dialect dialect() {
        return Dialect.of(login.capabilities());
    }

    /** Returns whether the client expects a confirmation of fast authentication before the OK packet. */
    boolean awaitsFastAuthConfirmation() {
        return awaitsFastAuthConfirmation;
    }

    /**
     * Receives the payload of the login packet, or of the answer to a request for another plugin.
     *
     * @throws io.netty.handler.codec.DecoderException if the login packet is malformed
     */
    Outcome receive(ByteBuf payload) {
        if (login != null) {
            byte[] proof = new byte[payload.readableBytes()];
            payload.readBytes(proof);
            return verify(Auth.NATIVE, proof);
        }
        login = Handshake.readLogin(payload);
        boolean supported = Auth.isSupported(login.plugin());
        return supported ? verify(login.plugin(), login.proof()) : Outcome.SWITCH_REQUIRED;
    }

    private Outcome verify(String plugin, byte[] proof) {
        String password = passwords.get(login.user());
        if (password == null || !Auth.proves(plugin, password, nonce, proof)) {
            return Outcome.DENIED;
        }
        awaitsFastAuthConfirmation = plugin.equals(Auth.SHA2) && !password.isEmpty();
        return Outcome.ACCEPTED;
    }
}
