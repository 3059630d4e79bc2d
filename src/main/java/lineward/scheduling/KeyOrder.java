package lineward.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;

/** Keeps the requests of one key in order, where their class asks for it. */
final class KeyOrder {
    private final SchedulerContext context;
    private final KeyedQueues<TrackedRequest> queues = new KeyedQueues<>();
    /** When a key whose last outcome was indeterminate may be used again. */
    private final Map<Long, Double> settledAtMs = new LinkedHashMap<>();

    KeyOrder(SchedulerContext context) {
        this.context = context;
    }

    void add(TrackedRequest request) {
        if (request.isOrdered()) {
            queues.add(request.key, request);
        }
    }

    void remove(TrackedRequest request) {
        queues.remove(request.key, request);
    }

    /** An attempt's outcome leaves open whether it still runs: the next request of its key waits. */
    void settle(TrackedRequest request) {
        if (request.isOrdered()) {
            double untilMs = context.nowMs() + context.settings.rules().settleMs();
            settledAtMs.merge(request.key, untilMs, Math::max);
        }
    }

    /** Returns whether it is the request's turn. */
    boolean isNext(TrackedRequest request) {
        if (!request.isOrdered()) {
            return true;
        }
        boolean started = !request.attempts.isEmpty();
        return queues.isFirst(request.key, request) && (started || isSettled(request.key));
    }

    private boolean isSettled(long key) {
        return context.nowMs() >= settledAtMs.getOrDefault(key, 0.0);
    }

    void forgetSettledKeys() {
        settledAtMs.values().removeIf(atMs -> atMs <= context.nowMs());
    }
}
