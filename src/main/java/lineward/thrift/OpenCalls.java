package lineward.thrift;

import java.util.OptionalLong;
import lineward.frontend.CoordinatorDriver;
import lineward.frontend.RateLimitedLog;
import lineward.operations.Metrics;
import lineward.scheduling.decision.ServerAdmissionPolicy;
import lineward.thrift.ThriftServer.Names;
import org.slf4j.LoggerFactory;

/**
 * Validates calls and submits them to the coordinator. Holds the statement of an open call until the call
 * is complete, and its id for the quarantine of {@link CallIds} after that. Used on the event loop only.
 */
final class OpenCalls {
    private static final RateLimitedLog LOG = new RateLimitedLog(LoggerFactory.getLogger(OpenCalls.class));

    private final Names names;
    private final ServerAdmissionPolicy admission;
    private final CoordinatorDriver<Call> driver;
    private final Metrics metrics;
    private final CallIds ids;

    /**
     * @param bounds limits the statements of open calls and the ids; further calls are rejected
     * @param metrics counts the calls that end before the coordinator has admitted them
     */
    OpenCalls(Names names, ThriftServer.Bounds bounds, CoordinatorDriver<Call> driver, Metrics metrics) {
        this.names = names;
        this.admission = new ServerAdmissionPolicy(bounds.maxStatementBytes());
        this.ids = new CallIds(bounds.maxIds());
        this.driver = driver;
        this.metrics = metrics;
    }

    /** Sets which clients and requests are admitted from now on. */
    void setAdmission(ServerAdmissionPolicy.Phase phase) {
        admission.setPhase(phase);
    }

    /** Returns whether clients that can choose among front ends should use this one. */
    boolean isRecommendedToClients() {
        return admission.isRecommendedToClients();
    }

    /**
     * Returns the validated fields of an invocation.
     *
     * @throws InvalidCallException if a field is invalid or the id is in use
     */
    CallFields validate(ThriftReader.Invocation invocation) throws InvalidCallException {
        CallFields fields = CallFields.parse(invocation, names);
        if (ids.isInUse(CallIds.numberOf(fields.id()))) {
            throw InvalidCallException.idInUse();
        }
        return fields;
    }

    /** Counts an invalid call as failed, under the class that it names. */
    void recordInvalid(ThriftReader.Invocation invocation) {
        String requestClass = invocation.fields().get(CallField.REQUEST_CLASS);
        metrics.countEndedRequest(requestClass, Metrics.RequestStatus.FAILED);
    }

    /**
     * Opens the call and copies its statement. Returns false if requests are not admitted or there is no
     * capacity; the caller must then reject the call.
     */
    boolean open(Call call) {
        int bytes = call.statement().readableBytes();
        if (!admission.mayAdmit(bytes) || !hasIdCapacity(call)) {
            countRejected(call);
            return false;
        }
        admission.recordAdmitted(bytes);
        call.copyStatement();
        ids.opened(call.idNumber(), call.client().callIds());
        return true;
    }

    private boolean hasIdCapacity(Call call) {
        boolean hasCapacity = ids.hasCapacity(call.client().callIds());
        if (!hasCapacity) {
            metrics.countIdLimitRejection();
            Object address = call.client().channel().remoteAddress();
            LOG.info("request rejected", "client", address, "too many ids of recent requests");
        }
        return hasCapacity;
    }

    /**
     * Submits an open call to the coordinator. Returns false if that has no capacity; the call is then
     * complete, and the caller must reject it.
     */
    boolean submit(Call call) {
        OptionalLong coordinatorRequestId = driver.admit(call.fields().attributes(), call);
        if (coordinatorRequestId.isEmpty()) {
            countRejected(call);
            complete(call);
            return false;
        }
        call.submitted(coordinatorRequestId.getAsLong());
        return true;
    }

    private void countRejected(Call call) {
        metrics.countEndedRequest(call.requestClass(), Metrics.RequestStatus.REJECTED);
    }

    /** Cancels a call whose client no longer waits for it. */
    void cancel(Call call) {
        if (call.isSubmitted()) {
            driver.cancel(call.coordinatorRequestId());
        }
        complete(call);
    }

    /**
     * Releases the call's statement now, and its id after the quarantine. Has no effect on a completed call:
     * if a client disconnects after the coordinator has failed its request but before the response is sent,
     * both events complete the call.
     */
    void complete(Call call) {
        if (call.complete()) {
            admission.recordCompleted(call.statement().readableBytes());
            call.statement().release();
            endId(call);
        }
    }

    private void endId(Call call) {
        if (call.hasAttempt()) {
            ids.ended(call.idNumber(), System.nanoTime());
        } else {
            ids.endedUnsent(call.idNumber());
        }
    }

    /** Returns the number of ids of open and recently ended calls. */
    int idCount() {
        return ids.size();
    }

    /** Releases the ids of calls whose quarantine is over. */
    void expireIds() {
        ids.expire(System.nanoTime());
    }
}
