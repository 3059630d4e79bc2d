package lineward.thrift;

/** A call that can't be served as it stands. Its connection goes on; the client is told the message. */
final class InvalidCallException extends Exception {
    private static final long serialVersionUID = 1;

    private InvalidCallException(String message) {
        super(message);
    }

    /** Returns the error of a field that is absent, malformed or out of its range. */
    static InvalidCallException invalid(CallField field) {
        return new InvalidCallException("field " + field.wireName + " is missing or can't be used");
    }

    /** Returns the error of a request whose id belongs to another one that is open or has just ended. */
    static InvalidCallException idInUse() {
        return new InvalidCallException("field " + CallField.ID.wireName + " is in use already");
    }

    /** Returns the error of a request that has nothing to run. */
    static InvalidCallException noStatement() {
        return new InvalidCallException("no statement");
    }
}
