package lineward.thrift;

import java.util.function.DoubleSupplier;
import lineward.core.Coordinator;
import lineward.core.GenerationalTable;
import lineward.operations.Metrics;
import lineward.scheduling.decision.ServerAdmissionPolicy;

/** Admits calls to the coordinator, and holds their statements and ids until they are complete. */
final class OpenCalls {
    private final ThriftServer.Names names;
    private final ServerAdmissionPolicy admission;
    private final Coordinator<Call> coordinator;
    private final DoubleSupplier clock;
    private final Runnable wakeUp;
    private final Metrics metrics;
    private final CallIds ids = new CallIds();

    /**
     * @param maxStatementBytes bytes of statements held at once; calls beyond are rejected
     * @param clock milliseconds
     * @param wakeUp is called when the coordinator has something to decide on
     * @param metrics count the calls that end before the coordinator has admitted them
     */
    OpenCalls(
            ThriftServer.Names names,
            long maxStatementBytes,
            Coordinator<Call> coordinator,
            DoubleSupplier clock,
            Runnable wakeUp,
            Metrics metrics) {
        this.names = names;
        this.admission = new ServerAdmissionPolicy(maxStatementBytes);
        this.coordinator = coordinator;
        this.clock = clock;
        this.wakeUp = wakeUp;
        this.metrics = metrics;
    }

    void setAdmission(ServerAdmissionPolicy.Phase next) {
        admission.enter(next);
    }

    /** Returns whether clients that have a choice of front ends are welcome here. */
    boolean acceptsClients() {
        return admission.welcomesClients();
    }

    /** Returns the fields of an invocation that can be served. */
    CallFields validate(ThriftReader.Invocation invocation) throws InvalidCallException {
        CallFields fields = CallFields.parse(invocation, names);
        if (ids.isInUse(fields.id())) {
            throw InvalidCallException.idInUse();
        }
        return fields;
    }

    /** Counts a call that can't be served, as a failure of the class that it names. */
    void recordUnusable(ThriftReader.Invocation invocation) {
        String requestClass = invocation.fields().get(CallField.REQUEST_CLASS.wireName);
        metrics.countEnded(requestClass, Metrics.RequestStatus.FAILED);
    }

    /** Returns whether the call is admitted; if not, there is no capacity for it and it must be rejected. */
    boolean admit(Call call) {
        if (!tryAdmit(call)) {
            metrics.countEnded(call.op(), Metrics.RequestStatus.REJECTED);
            return false;
        }
        call.statement().retain();
        ids.opened(call.id());
        wakeUp.run();
        return true;
    }

    private boolean tryAdmit(Call call) {
        int bytes = call.statement().readableBytes();
        if (!admission.mayAdmit(bytes)) {
            return false;
        }
        long requestId = coordinator.admit(clock.getAsDouble(), call.fields().attributes(), call);
        if (requestId == GenerationalTable.FULL) {
            return false;
        }
        admission.recordAdmitted(bytes);
        call.admitted(requestId);
        return true;
    }

    /** Cancels a call whose client no longer waits for it. */
    void cancel(Call call) {
        coordinator.cancelRequest(call.requestId());
        complete(call);
        wakeUp.run();
    }

    /**
     * Releases what is held for the call. A client may hang up between the decision that its call has failed
     * and the response, so this can come twice; only the first time counts, for bytes released twice would be
     * another call's.
     */
    void complete(Call call) {
        if (call.complete()) {
            admission.recordCompleted(call.statement().readableBytes());
            call.statement().release();
            ids.ended(call.id(), System.nanoTime());
        }
    }

    /** Frees the ids of calls that ended long enough ago. */
    void expireIds() {
        ids.expire(System.nanoTime());
    }
}
