package lineward.discovery;

/** A response of service discovery, or a list of endpoints in the same form, that can't be used. */
public final class DiscoveryFormatException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    /** Creates the error; {@link JournalFormat} words the message, which is one line. */
    DiscoveryFormatException(String message) {
        super(message);
    }
}
