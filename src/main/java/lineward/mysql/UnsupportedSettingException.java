package lineward.mysql;

/**
 * A SET statement that can't be carried out for a session; the message names the part that is not supported.
 */
final class UnsupportedSettingException extends Exception {
    private static final long serialVersionUID = 1L;

    UnsupportedSettingException(String unsupported) {
        super(unsupported);
    }

    static void require(boolean supported, String otherwise) throws UnsupportedSettingException {
        if (!supported) {
            throw new UnsupportedSettingException(otherwise);
        }
    }
}
