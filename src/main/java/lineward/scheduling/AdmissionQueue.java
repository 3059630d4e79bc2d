package lineward.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Holds admitted requests until an engine has capacity, in the order that the policy gives them. */
final class AdmissionQueue {
    private static final Comparator<TrackedRequest> BEST_FIRST = Comparator.<TrackedRequest>comparingDouble(
                    request -> -request.priority)
            .thenComparingLong(request -> request.id);

    private final SchedulerContext context;
    private final AdmissionPolicy policy;
    private final EngineSelector selector;
    private final KeyOrder keyOrder;
    private final RequestLifecycle lifecycle;
    private final AttemptStarter starter;
    private List<TrackedRequest> queue = new ArrayList<>();
    private boolean blocked;

    AdmissionQueue(
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

    /** Queues a request. One with hardly any time left gets its answer at once. */
    void add(TrackedRequest request) {
        request.dispatched = false;
        if (policy.cannotBeInTime(request)) {
            lifecycle.giveUp(request);
        } else {
            queue.add(request);
        }
    }

    /** Returns whether requests stayed in the queue for want of capacity. */
    boolean isBlocked() {
        return blocked;
    }

    /** Starts attempts of what is queued, best first, while engines have capacity. */
    void dispatch() {
        blocked = false;
        if (queue.isEmpty()) {
            return;
        }
        context.classes.forEach(type -> type.dispatchPaused = false);
        queue.forEach(request -> request.priority = policy.priority(request));
        queue.sort(BEST_FIRST);
        List<TrackedRequest> remaining = new ArrayList<>();
        for (TrackedRequest request : queue) {
            if (isPending(request) && !dispatch(request)) {
                remaining.add(request);
            }
        }
        queue = remaining;
    }

    private boolean dispatch(TrackedRequest request) {
        boolean next = keyOrder.isNext(request);
        Engine engine = next && !request.type.dispatchPaused ? selector.selectEngine(request) : null;
        if (engine == null) {
            blocked |= next;
            return false;
        }
        starter.start(request, engine);
        return true;
    }

    /** Gives up what is queued and can't be in time any more. */
    void rejectOverdue() {
        for (TrackedRequest request : queue) {
            if (isPending(request) && policy.cannotBeInTime(request)) {
                lifecycle.giveUp(request);
            }
        }
    }

    private static boolean isPending(TrackedRequest request) {
        return !request.completed && !request.dispatched;
    }
}
