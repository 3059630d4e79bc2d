package lineward.mysql.wire;

import io.netty.util.CharsetUtil;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.PublicKey;
import java.security.SecureRandom;
import java.security.spec.X509EncodedKeySpec;
import java.util.Base64;
import javax.crypto.Cipher;

/**
 * Computes and verifies scrambles, the authentication responses that a client derives from its password and
 * the server's nonce, for the two supported plugins.
 */
public final class Auth {
    public static final String NATIVE = "mysql_native_password";
    public static final String SHA2 = "caching_sha2_password";
    /** Length of a nonce in bytes. */
    public static final int NONCE_BYTES = 20;

    private static final SecureRandom RANDOM = new SecureRandom();

    private Auth() {}

    /** Returns a random nonce without zero bytes, because a zero byte ends the nonce in the greeting. */
    public static byte[] newNonce() {
        byte[] nonce = new byte[NONCE_BYTES];
        for (int i = 0; i < nonce.length; i++) {
            nonce[i] = (byte) (1 + RANDOM.nextInt(126));
        }
        return nonce;
    }

    /** Returns whether the plugin is supported. */
    public static boolean isSupported(String plugin) {
        return plugin.equals(NATIVE) || plugin.equals(SHA2);
    }

    /** Returns the plugin's scramble for the password and the nonce; empty for an empty password. */
    public static byte[] scramble(String plugin, String password, byte[] nonce) {
        if (password.isEmpty()) {
            return new byte[0];
        }
        byte[] text = password.getBytes(CharsetUtil.UTF_8);
        if (plugin.equals(NATIVE)) {
            byte[] hash = digest("SHA-1", text);
            return xor(hash, digest("SHA-1", nonce, digest("SHA-1", hash)));
        }
        byte[] hash = digest("SHA-256", text);
        return xor(hash, digest("SHA-256", digest("SHA-256", hash), nonce));
    }

    /** Returns whether the scramble that a client sent matches the password; compares in constant time. */
    public static boolean matches(String plugin, String password, byte[] nonce, byte[] authResponse) {
        return MessageDigest.isEqual(scramble(plugin, password, nonce), authResponse);
    }

    /**
     * Returns the password, encrypted with the server's RSA public key. A server requests it with
     * caching_sha2_password if it can't verify the scramble.
     *
     * @param publicKeyPem the public key
     */
    public static byte[] encryptPassword(String password, byte[] nonce, String publicKeyPem)
            throws GeneralSecurityException {
        String base64 = publicKeyPem.replaceAll("-----[A-Z ]+-----", "").replaceAll("\\s", "");
        PublicKey key = KeyFactory.getInstance("RSA")
                .generatePublic(new X509EncodedKeySpec(Base64.getDecoder().decode(base64)));
        byte[] text = (password + '\0').getBytes(CharsetUtil.UTF_8);
        for (int i = 0; i < text.length; i++) {
            text[i] ^= nonce[i % nonce.length];
        }
        Cipher cipher = Cipher.getInstance("RSA/ECB/OAEPWithSHA-1AndMGF1Padding");
        cipher.init(Cipher.ENCRYPT_MODE, key);
        return cipher.doFinal(text);
    }

    private static byte[] digest(String algorithm, byte[]... inputs) {
        try {
            MessageDigest digest = MessageDigest.getInstance(algorithm);
            for (byte[] input : inputs) {
                digest.update(input);
            }
            return digest.digest();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private static byte[] xor(byte[] left, byte[] right) {
        byte[] result = new byte[left.length];
        for (int i = 0; i < result.length; i++) {
            result[i] = (byte) (left[i] ^ right[i]);
        }
        return result;
    }
}
