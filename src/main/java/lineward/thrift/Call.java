package lineward.thrift;

import io.netty.buffer.ByteBuf;
import lineward.engine.QueryAttempt;

/** One request of a client: where its answer goes, and the statement as it came. */
public final class Call {
    final ClientHandler client;
    final int seqid;
    final CallFields fields;
    final ByteBuf statement;
    long request;
    QueryAttempt run;
    int runOf = -1;
    /** Its final answer is settled and its statement let go. */
    boolean over;

    @Override
    public String toString() {
        return id();
    }

    Call(ClientHandler client, int seqid, CallFields fields, ByteBuf statement) {
        this.client = client;
        this.seqid = seqid;
        this.fields = fields;
        this.statement = statement;
    }

    /** Returns the class's name. */
    public String op() {
        return fields.op();
    }

    /** Returns the id that the client gave the request. */
    public String id() {
        return fields.id();
    }
}
