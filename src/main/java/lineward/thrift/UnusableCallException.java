package lineward.thrift;

/** A call that can't be served as it stands. Its connection goes on; the client is told the message. */
final class UnusableCallException extends Exception {
    private static final long serialVersionUID = 1;

    private UnusableCallException(String message) {
        super(message);
    }

    /** Returns the error of a field that is absent, malformed or out of its range. */
    static UnusableCallException invalid(CallField field) {
        return new UnusableCallException("field " + field.wireName + " is missing or can't be used");
    }

    /** Returns the error of a request whose id belongs to another one that is open or has just ended. */
    static UnusableCallException idInUse() {
        return new UnusableCallException("field " + CallField.ID.wireName + " is in use already");
    }

    /** Returns the error of a request that has nothing to run. */
    static UnusableCallException noStatement() {
        return new UnusableCallException("no statement");
    }
}
