package lineward.app;

/**
 * Thrown if the configuration can't be used.
 *
 * <p>The message is one line, without the name of the program. If one value is at fault, it consists of file,
 * key, reason, value found and values allowed.
 */
final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    /** Longer values are truncated in the message, to keep it readable. */
    private static final int MAX_FOUND_CHARS = 80;

    private final String file;
    private final String key;
    private final String found;
    private final String allowed;

    /** Called by the factory methods only. */
    ConfigException(String message, String file, String key, String found, String allowed, Throwable cause) {
        super(message, cause);
        this.file = file;
        this.key = key;
        this.found = found;
        this.allowed = allowed;
    }

    /** Creates an exception for a file, variable or address that can't be used at all. */
    static ConfigException unusable(String message, Throwable cause) {
        return new ConfigException(printable(message), "", "", "", "", cause);
    }

    /** Creates an exception for a file, variable or address that can't be used at all. */
    static ConfigException unusable(String message) {
        return unusable(message, null);
    }

    /**
     * Creates an exception for one value.
     *
     * @param reason the fault, as the predicate of a sentence whose subject is the key
     * @param found the value in the file; must not be a password
     * @param allowed the values that are allowed
     */
    static ConfigException invalid(String file, String key, String reason, String found, String allowed) {
        return invalid(file, key, reason, found, allowed, null);
    }

    /** Creates an exception for one value, with its cause. */
    static ConfigException invalid(
            String file, String key, String reason, String found, String allowed, Throwable cause) {
        int length = Math.min(MAX_FOUND_CHARS, found.length());
        String foundText = printable(found.substring(0, length));
        String message = file + ": " + key + ' ' + reason + "; found " + foundText + ", allowed " + allowed;
        return new ConfigException(printable(message), file, key, foundText, allowed, cause);
    }

    /**
     * Replaces control characters, so that the message is one line: configuration values may contain line
     * breaks.
     */
    private static String printable(String text) {
        return text.replaceAll("\\p{Cntrl}", "?");
    }

    /** Returns the file at fault; empty if no single value is at fault. */
    String file() {
        return file;
    }

    /** Returns the path of the key at fault, separated by dots; empty if no single value is at fault. */
    String key() {
        return key;
    }

    /** Returns the value found, as the message shows it; empty if no single value is at fault. */
    String found() {
        return found;
    }

    /** Returns the values that are allowed; empty if no single value is at fault. */
    String allowed() {
        return allowed;
    }
}
