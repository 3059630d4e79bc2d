package peatwick.adapter;

/** The input is not what the wire allows; the message is for people. */
public final class WireException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** @param message what is wrong, plainly */
    public WireException(String message) {
        super(message);
    }
}
