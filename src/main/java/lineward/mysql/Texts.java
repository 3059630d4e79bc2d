package lineward.mysql;

import java.nio.charset.StandardCharsets;

/** Clients' texts are forwarded as Latin-1 strings of their bytes; converts them to and from UTF-8. */
final class Texts {
    private Texts() {}

    /** Returns the text's UTF-8 bytes, each as one character. */
    static String latin1(String text) {
        return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
    }

    /** Returns the text whose UTF-8 bytes these characters are. */
    static String utf8(String latin1) {
        return new String(latin1.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    }
}
