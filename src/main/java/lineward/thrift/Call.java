package lineward.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import lineward.core.GenerationalTable;
import lineward.engine.QueryAttempt;

/**
 * One request of a client: its connection, its statement and its latest attempt. Used on the event loop only;
 * outside this package only its id and class are read.
 */
public final class Call {
    private static final int NO_ATTEMPT = -1;
    private static final long NOT_SUBMITTED = GenerationalTable.FULL;

    private enum State {
        /** The call awaits its final response and holds its statement. */
        OPEN,
        /** The final response has been sent or is no longer needed, and the statement is released. */
        COMPLETED
    }

    private final ClientHandler client;
    private final int sequenceNumber;
    private final CallFields fields;
    private final long idNumber;
    private ByteBuf statement;
    private State state = State.OPEN;
    private long coordinatorRequestId = NOT_SUBMITTED;
    /** The latest attempt; null before the first one. */
    private QueryAttempt attempt;

    private int attemptNumber = NO_ATTEMPT;

    /** @param statement a slice of the client's frame, copied when the call is opened */
    Call(ClientHandler client, int sequenceNumber, CallFields fields, ByteBuf statement) {
        this.client = client;
        this.sequenceNumber = sequenceNumber;
        this.fields = fields;
        this.idNumber = CallIds.numberOf(fields.id());
        this.statement = statement;
    }

    /** Returns the name of the request's class. */
    public String requestClass() {
        return fields.requestClass();
    }

    /** Returns the id that the client gave the request. */
    public String id() {
        return fields.id();
    }

    /** Returns the number of the id, see {@link CallIds#numberOf}. */
    long idNumber() {
        return idNumber;
    }

    /** Returns the connection that the call arrived on. */
    ClientHandler client() {
        return client;
    }

    /** Returns the sequence number of the call and its response, unique on the connection. */
    int sequenceNumber() {
        return sequenceNumber;
    }

    /** Returns the validated fields. */
    CallFields fields() {
        return fields;
    }

    /** Returns the statement, valid until the call is complete. */
    ByteBuf statement() {
        return statement;
    }

    /**
     * Replaces the statement by a copy on the heap, which the call owns. A slice would retain the read
     * buffers of the connection, which are larger and limited.
     */
    void copyStatement() {
        statement = Unpooled.copiedBuffer(statement);
    }

    /** Returns whether the coordinator has admitted the call. */
    boolean isSubmitted() {
        return coordinatorRequestId != NOT_SUBMITTED;
    }

    /** Returns the coordinator's id of the request; the call must have been submitted. */
    long coordinatorRequestId() {
        return coordinatorRequestId;
    }

    /** Records the id under which the coordinator has admitted the call. */
    void submitted(long id) {
        coordinatorRequestId = id;
    }

    /** Records an attempt that the coordinator has started; it replaces the previous one. */
    void attemptStarted(int number, QueryAttempt started) {
        attemptNumber = number;
        attempt = started;
    }

    /** Returns whether an attempt was started, so that the request may have reached an engine. */
    boolean hasAttempt() {
        return attemptNumber != NO_ATTEMPT;
    }

    /** Returns the attempt with that number; null if it is not the latest one. */
    QueryAttempt attempt(int number) {
        return number == attemptNumber ? attempt : null;
    }

    /** Completes the call and returns true; returns false if it was completed before. */
    boolean complete() {
        boolean wasOpen = state == State.OPEN;
        state = State.COMPLETED;
        return wasOpen;
    }

    @Override
    public String toString() {
        return id();
    }
}
