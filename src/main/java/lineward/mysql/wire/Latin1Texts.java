package lineward.mysql.wire;

import java.nio.charset.StandardCharsets;

/**
 * Converts between ordinary strings and the encoding in which texts are forwarded: strings with one Latin-1
 * character for each byte of the text, so that bytes which are not valid UTF-8 are forwarded unchanged.
 */
public final class Latin1Texts {
    private Latin1Texts() {}

    /** Returns a string with one Latin-1 character for each byte of the text in UTF-8. */
    public static String encode(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    /** Returns the text whose UTF-8 bytes are the Latin-1 characters of this string. */
    public static String decode(String latin1) {
        return new String(latin1.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    }
}
