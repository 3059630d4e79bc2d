package lineward.app;

/** The configuration can't be used; the message is one plain line. */
final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    ConfigException(String message) {
        super(message);
    }
}
