package lineward.thrift;

import io.netty.buffer.ByteBuf;
import lineward.engine.QueryAttempt;

/** One request of a client: where its response goes, its statement, and its latest attempt. */
public final class Call {
    private static final int NO_ATTEMPT = -1;

    private enum State {
        /** Its statement is held and a final response is owed. */
        OPEN,
        /** Its final response is settled and its statement released. */
        COMPLETED
    }

    private final ClientHandler client;
    private final int sequenceNumber;
    private final CallFields fields;
    private final ByteBuf statement;
    private State state = State.OPEN;
    private long requestId;
    private QueryAttempt attempt;
    private int attemptNumber = NO_ATTEMPT;

    /** @param statement a slice of the client's frame; whoever admits the call retains it */
    Call(ClientHandler client, int sequenceNumber, CallFields fields, ByteBuf statement) {
        this.client = client;
        this.sequenceNumber = sequenceNumber;
        this.fields = fields;
        this.statement = statement;
    }

    /** Returns the name of the request's class. */
    public String op() {
        return fields.requestClass();
    }

    /** Returns the id that the client gave the request. */
    public String id() {
        return fields.id();
    }

    ClientHandler client() {
        return client;
    }

    /** Returns the number under which the client waits for the response, unique on its connection. */
    int sequenceNumber() {
        return sequenceNumber;
    }

    CallFields fields() {
        return fields;
    }

    ByteBuf statement() {
        return statement;
    }

    /** Returns the coordinator's id of the request. */
    long requestId() {
        return requestId;
    }

    void admitted(long id) {
        requestId = id;
    }

    /** The coordinator has started an attempt; it takes the place of the one before. */
    void attemptStarted(int number, QueryAttempt started) {
        attemptNumber = number;
        attempt = started;
    }

    /** Returns the attempt of that number, or null if a later one has taken its place. */
    QueryAttempt attempt(int number) {
        return number == attemptNumber ? attempt : null;
    }

    /** Returns whether the call was open until now. */
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
