package lineward.scheduling.simulator;

/** Thrown for input or settings that cannot be used; the message is shown to operators. */
public final class InputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message that describes the fault. */
    public InputException(String message) {
        super(message);
    }

    /** Creates an exception with a message that describes the fault, and its cause. */
    public InputException(String message, Throwable cause) {
        super(message, cause);
    }
}
