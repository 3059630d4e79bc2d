package lineward.mysql.session;

/**
 * Thrown for a SET statement that is not supported; the message names the unsupported part.
 */
public final class UnsupportedSettingException extends Exception {
    private static final long serialVersionUID = 1L;

    UnsupportedSettingException(String unsupported) {
        super(unsupported);
    }

    /** Throws an exception with this name of the part unless the part is supported. */
    static void require(boolean supported, String otherwise) throws UnsupportedSettingException {
        if (!supported) {
            throw new UnsupportedSettingException(otherwise);
        }
    }
}
