package lineward.mysql;

import java.util.OptionalLong;
import lineward.core.RequestAttributes;
import lineward.frontend.CoordinatorDriver;
import lineward.mysql.client.Query;
import lineward.mysql.client.QueryDispatcher;
import lineward.mysql.session.StatementClass;
import lineward.operations.Metrics;
import lineward.scheduling.decision.ServerAdmissionPolicy;

/** Admits clients' queries to the coordinator, and counts those that are rejected before they reach it. */
final class QueryAdmission implements QueryDispatcher {
    private final MysqlConfig config;
    private final ServerAdmissionPolicy admission;
    private final CoordinatorDriver<Query> driver;
    private final Metrics metrics;

    QueryAdmission(
            MysqlConfig config,
            ServerAdmissionPolicy admission,
            CoordinatorDriver<Query> coordinatorDriver,
            Metrics metrics) {
        this.config = config;
        this.admission = admission;
        this.driver = coordinatorDriver;
        this.metrics = metrics;
    }

    @Override
    public StatementClass classOf(String text, boolean writes) {
        return new StatementClass(config.classIndexOf(text), writes);
    }

    @Override
    public boolean admit(Query query) {
        long bytes = query.command().sizeBytes();
        boolean admitted = admission.mayAdmit(bytes) && offerToCoordinator(query);
        if (admitted) {
            admission.recordAdmitted(bytes);
        } else {
            countRejected(query);
        }
        return admitted;
    }

    /** Returns false if the coordinator's table of open requests is full. */
    private boolean offerToCoordinator(Query query) {
        double deadlineMs = classOf(query).deadlineMs();
        RequestAttributes attributes =
                new RequestAttributes(query.schedulerClassIndex(), 0, deadlineMs, 0, 0, 0, false);
        OptionalLong requestId = driver.admit(attributes, query);
        requestId.ifPresent(query::admitted);
        return requestId.isPresent();
    }

    @Override
    public void completed(Query query) {
        admission.recordCompleted(query.command().sizeBytes());
    }

    @Override
    public void cancel(Query query) {
        driver.cancel(query.requestId());
    }

    @Override
    public void countRejected(Query query) {
        metrics.countEndedRequest(classOf(query).name(), Metrics.RequestStatus.REJECTED);
    }

    private MysqlConfig.QueryClass classOf(Query query) {
        return config.classes().get(query.classIndex());
    }
}
