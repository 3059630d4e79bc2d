package lineward.discovery;

/** A journal response, or a list of endpoints in its form, that can't be used. */
final class JournalFormatException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    /** Creates the error with what was wrong. */
    JournalFormatException(String problem) {
        super("journal: " + problem);
    }
}
