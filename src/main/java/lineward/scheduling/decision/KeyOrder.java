package lineward.scheduling.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import lineward.scheduling.state.KeyedQueues;
import lineward.scheduling.state.SchedulerContext;
import lineward.scheduling.state.TrackedRequest;

/** Keeps the requests of one key in order of arrival, where their class asks for it. */
public final class KeyOrder {
    private final SchedulerContext context;
    private final KeyedQueues<TrackedRequest> queues = new KeyedQueues<>();
    /** When the next request of a key may start after an indeterminate outcome. */
    private final Map<Long, Double> settledAtMs = new LinkedHashMap<>();

    /** Creates a policy for the requests of that scheduler. */
    public KeyOrder(SchedulerContext context) {
        this.context = context;
    }

    /** Adds an admitted request. */
    public void add(TrackedRequest request) {
        if (request.isOrdered()) {
            queues.add(request.key(), request);
        }
    }

    /** Removes a request that is released. */
    public void remove(TrackedRequest request) {
        queues.remove(request.key(), request);
    }

    /** An attempt may still run: the next request of its key waits for the settle time of the settings. */
    public void settle(TrackedRequest request) {
        if (request.isOrdered()) {
            double untilMs = context.nowMs() + context.settings().rules().settleMs();
            settledAtMs.merge(request.key(), untilMs, Math::max);
        }
    }

    /**
     * Returns whether the request may start: it is the oldest request of its key, and the settle time of the
     * key is over, unless the request itself has started before.
     */
    public boolean isNext(TrackedRequest request) {
        if (!request.isOrdered()) {
            return true;
        }
        boolean started = !request.attempts().isEmpty();
        return queues.isFirst(request.key(), request) && (started || isSettled(request.key()));
    }

    private boolean isSettled(long key) {
        Double untilMs = settledAtMs.get(key);
        return untilMs == null || context.nowMs() >= untilMs;
    }

    /** Forgets keys whose settle time has passed. */
    public void forgetSettledKeys() {
        settledAtMs.values().removeIf(atMs -> atMs <= context.nowMs());
    }
}
