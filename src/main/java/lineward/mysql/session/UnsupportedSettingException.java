package lineward.mysql.session;

/** A SET statement is not supported. The message names the unsupported part. */
public final class UnsupportedSettingException extends Exception {
    private static final long serialVersionUID = 1L;

    UnsupportedSettingException(String part) {
        super(part);
    }

    /** Throws an exception that names the part of the statement unless the part is supported. */
    static void require(boolean supported, String part) throws UnsupportedSettingException {
        if (!supported) {
            throw new UnsupportedSettingException(part);
        }
    }
}
