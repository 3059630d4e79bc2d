package lineward.thrift;

/** Thrown for an invalid call. The response carries the message, and the connection stays open. */
final class InvalidCallException extends Exception {
    private static final long serialVersionUID = 1;

    private InvalidCallException(String message) {
        super(message);
    }

    /** Returns the error for a field that is absent, malformed or out of range. */
    static InvalidCallException invalidField(CallField field) {
        return new InvalidCallException("field " + field.wireName() + " is missing or can't be used");
    }

    /** Returns the error for an id of a request that is open or ended recently. */
    static InvalidCallException idInUse() {
        return new InvalidCallException("field " + CallField.ID.wireName() + " is in use already");
    }

    /** Returns the error for a request without a statement. */
    static InvalidCallException noStatement() {
        return new InvalidCallException("no statement");
    }
}
