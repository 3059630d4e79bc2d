package lineward.discovery;

/** Thrown if a response of service discovery, or an endpoint list in the same format, is invalid. */
public final class DiscoveryFormatException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    /** Creates an exception with a one-line message, which {@link JournalFormat} composes. */
    DiscoveryFormatException(String message) {
        super(message);
    }
}
