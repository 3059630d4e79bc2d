package lineward.scheduling.simulator;

/** Thrown for input that violates the simulator's protocol; its message is shown to operators. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message that names the fault. */
    public WireException(String message) {
        super(message);
    }

    /** Creates an exception with a message that names the fault, and its cause. */
    public WireException(String message, Throwable cause) {
        super(message, cause);
    }
}
