package lineward.scheduling.execution;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import lineward.scheduling.decision.AdmissionPolicy;
import lineward.scheduling.decision.EngineSelector;
import lineward.scheduling.decision.KeyOrder;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.RequestState;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/** Holds admitted requests until an engine has capacity, and dispatches them by priority. */
final class DispatchQueue {
    private record Prioritized(ScheduledRequest request, double priority) {}

    private static final Comparator<Prioritized> HIGHEST_PRIORITY_FIRST = Comparator.comparingDouble(
                    (Prioritized prioritized) -> -prioritized.priority())
            .thenComparingLong(prioritized -> prioritized.request().id());

    private final SchedulerContext context;
    private final AdmissionPolicy policy;
    private final EngineSelector selector;
    private final KeyOrder keyOrder;
    private final RequestLifecycle lifecycle;
    private final AttemptStarter starter;
    private List<ScheduledRequest> queue = new ArrayList<>();
    private boolean blocked;

    DispatchQueue(
            SchedulerContext context,
            AdmissionPolicy policy,
            EngineSelector selector,
            KeyOrder keyOrder,
            RequestLifecycle lifecycle,
            AttemptStarter starter) {
        this.context = context;
        this.policy = policy;
        this.selector = selector;
        this.keyOrder = keyOrder;
        this.lifecycle = lifecycle;
        this.starter = starter;
    }

    /** Queues a request, or gives it up at once if it cannot be answered in time. */
    void add(ScheduledRequest request) {
        if (policy.cannotBeInTime(request)) {
            lifecycle.giveUp(request);
        } else {
            queue.add(request);
        }
    }

    /** Returns whether the last dispatch left a request in the queue because no engine could be selected. */
    boolean isBlocked() {
        return blocked;
    }

    /** Starts attempts of queued requests in order of priority, as far as engines have capacity. */
    void dispatch() {
        blocked = false;
        if (queue.isEmpty()) {
            return;
        }
        context.classes().forEach(type -> type.setDispatchPaused(false));
        List<ScheduledRequest> remaining = new ArrayList<>();
        for (Prioritized prioritized : prioritizedQueue()) {
            ScheduledRequest request = prioritized.request();
            if (isQueued(request) && !dispatch(request)) {
                remaining.add(request);
            }
        }
        queue = remaining;
    }

    private List<Prioritized> prioritizedQueue() {
        List<Prioritized> prioritized = new ArrayList<>(queue.size());
        queue.forEach(request -> prioritized.add(new Prioritized(request, policy.dispatchPriority(request))));
        prioritized.sort(HIGHEST_PRIORITY_FIRST);
        return prioritized;
    }

    private boolean dispatch(ScheduledRequest request) {
        if (!keyOrder.isNext(request)) {
            return false;
        }
        boolean paused = request.requestClass().isDispatchPaused();
        Optional<Engine> engine = paused ? Optional.empty() : selector.selectEngine(request);
        engine.ifPresent(selected -> starter.start(request, selected));
        blocked |= engine.isEmpty();
        return engine.isPresent();
    }

    /** Gives up queued requests that can no longer be answered in time. */
    void giveUpOverdue() {
        for (ScheduledRequest request : queue) {
            if (isQueued(request) && policy.cannotBeInTime(request)) {
                lifecycle.giveUp(request);
            }
        }
    }

    private static boolean isQueued(ScheduledRequest request) {
        return request.state() == RequestState.QUEUED;
    }
}
