package lineward.discovery;

/** A response of service discovery, or an endpoint list in the same format, is invalid. */
public final class DiscoveryFormatException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    /** Creates an exception with a one-line message of {@link JournalFormat}. */
    DiscoveryFormatException(String message) {
        super(message);
    }
}
