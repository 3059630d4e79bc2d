package lineward.mysql.client;

import io.netty.buffer.ByteBuf;
import java.util.Map;
import lineward.mysql.wire.Auth;
import lineward.mysql.wire.Handshake;
import lineward.mysql.wire.ResultFormat;

/** The login of one client: parses its packets and verifies its password. Performs no I/O. */
final class ClientLogin {
    /** The state of the login after one packet. */
    enum Outcome {
        /** The client must be asked to authenticate with the plugin {@link Auth#NATIVE}. */
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

    /** Returns the user name; must not be called before the login packet has been received. */
    String user() {
        return login.user();
    }

    /** Returns the schema that the client selects; empty if it selects none. */
    String schema() {
        return login.schema();
    }

    ResultFormat dialect() {
        return ResultFormat.of(login.capabilities());
    }

    /** Returns whether a packet that confirms fast authentication must precede the OK packet. */
    boolean awaitsFastAuthConfirmation() {
        return awaitsFastAuthConfirmation;
    }

    /**
     * Processes the payload of the login packet or of the response to an authentication switch.
     *
     * @throws io.netty.handler.codec.DecoderException if the login packet is malformed
     */
    Outcome receive(ByteBuf payload) {
        if (login != null) {
            byte[] authResponse = new byte[payload.readableBytes()];
            payload.readBytes(authResponse);
            return verify(Auth.NATIVE, authResponse);
        }
        login = Handshake.readLogin(payload);
        boolean supported = Auth.isSupported(login.plugin());
        return supported ? verify(login.plugin(), login.authResponse()) : Outcome.SWITCH_REQUIRED;
    }

    private Outcome verify(String plugin, byte[] authResponse) {
        String password = passwords.get(login.user());
        if (password == null || !Auth.matches(plugin, password, nonce, authResponse)) {
            return Outcome.DENIED;
        }
        awaitsFastAuthConfirmation = plugin.equals(Auth.SHA2) && !password.isEmpty();
        return Outcome.ACCEPTED;
    }
}
