package lineward.scheduling.simulator;

/** The input is not what the simulator's protocol allows; the message is for people. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception that says plainly what is wrong. */
    public WireException(String message) {
        super(message);
    }

    /** Creates an exception that says plainly what is wrong, and what it follows from. */
    public WireException(String message, Throwable cause) {
        super(message, cause);
    }
}
