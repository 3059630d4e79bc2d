package lineward.mysql;

import java.util.function.DoubleSupplier;
import lineward.core.Coordinator;
import lineward.core.GenerationalTable;
import lineward.core.RequestAttributes;
import lineward.mysql.client.Query;
import lineward.mysql.client.QueryDispatcher;
import lineward.mysql.session.StatementClass;
import lineward.operations.Metrics;
import lineward.scheduling.decision.ServerAdmissionPolicy;

/** Admits the clients' queries to the coordinator, and counts the queries that are rejected before. */
final class QueryAdmission implements QueryDispatcher {
    private final MysqlConfig config;
    private final ServerAdmissionPolicy policy;
    private final Coordinator<Query> coordinator;
    private final DoubleSupplier clock;
    private final Runnable wakeUp;
    private final Metrics metrics;

    /**
     * Creates the admission of a server.
     *
     * @param clock the time in milliseconds
     * @param wakeUp is called when the coordinator has events to decide on
     */
    QueryAdmission(
            MysqlConfig config,
            ServerAdmissionPolicy policy,
            Coordinator<Query> coordinator,
            DoubleSupplier clock,
            Runnable wakeUp,
            Metrics metrics) {
        this.config = config;
        this.policy = policy;
        this.coordinator = coordinator;
        this.clock = clock;
        this.wakeUp = wakeUp;
        this.metrics = metrics;
    }

    @Override
    public StatementClass classOf(String text, boolean writes) {
        return new StatementClass(config.classIndexOf(text), writes);
    }

    @Override
    public boolean admit(Query query) {
        boolean admitted = policy.admitsRequests() && offerToCoordinator(query);
        if (!admitted) {
            countRejected(query);
        }
        return admitted;
    }

    /** Returns false if the table of open requests is full. */
    private boolean offerToCoordinator(Query query) {
        double deadlineMs = classOf(query).deadlineMs();
        RequestAttributes attributes =
                new RequestAttributes(query.schedulerClassIndex(), 0, deadlineMs, 0, 0, 0, false);
        long requestId = coordinator.admit(clock.getAsDouble(), attributes, query);
        query.admitted(requestId);
        wakeUp.run();
        return requestId != GenerationalTable.FULL;
    }

    @Override
    public void cancel(Query query) {
        coordinator.cancelRequest(query.requestId());
        wakeUp.run();
    }

    @Override
    public void countRejected(Query query) {
        metrics.countEnded(classOf(query).name(), Metrics.RequestStatus.REJECTED);
    }

    private MysqlConfig.QueryClass classOf(Query query) {
        return config.classes().get(query.classIndex());
    }
}
