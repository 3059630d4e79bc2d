package lineward.mysql;

import io.netty.buffer.ByteBuf;

/** The login of one client: reads its packets and verifies that it knows its user's password. Does no I/O. */
final class ClientLogin {
    /** What a packet of the login has led to. */
    enum Outcome {
        /** The client is to prove its password by {@link Auth#NATIVE}. */
        SWITCH_REQUIRED,
        DENIED,
        ACCEPTED
    }

    private final MysqlServer server;
    private final byte[] nonce = Auth.nonce();
    private Handshake.Login login;
    private boolean awaitsFastAuthConfirmation;

    ClientLogin(MysqlServer server) {
        this.server = server;
    }

    byte[] nonce() {
        return nonce;
    }

    /** Returns the name that the client gave; only behind its first packet. */
    String user() {
        return login.user();
    }

    /** Returns the schema that the client asked for; empty if none. */
    String schema() {
        return login.schema();
    }

    Dialect dialect() {
        return Dialect.of(login.capabilities());
    }

    /** Returns whether the client must hear that its proof was enough before it can take an OK. */
    boolean awaitsFastAuthConfirmation() {
        return awaitsFastAuthConfirmation;
    }

    /**
     * Takes the payload of the login packet, or of the one that answers a switch of the plugin.
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
        String password = server.password(login.user());
        if (password == null || !Auth.proves(plugin, password, nonce, proof)) {
            return Outcome.DENIED;
        }
        awaitsFastAuthConfirmation = plugin.equals(Auth.SHA2) && !password.isEmpty();
        return Outcome.ACCEPTED;
    }
}
