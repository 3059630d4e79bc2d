package lineward.mysql.session;

/** A SET statement is not supported. The message names the unsupported part. */
public final class UnsupportedSettingException extends Exception {
    private static final long serialVersionUID = 1L;

    UnsupportedSettingException(String unsupported) {
        super(unsupported);
    }

    /** Throws an exception that names the part of the statement unless the part is supported. */
    static void require(boolean supported, String otherwise) throws UnsupportedSettingException {
        if (!supported) {
            throw new UnsupportedSettingException(otherwise);
        }
    }
}
