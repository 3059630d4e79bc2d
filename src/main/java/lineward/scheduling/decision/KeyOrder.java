package lineward.scheduling.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import lineward.scheduling.state.KeyedQueues;
import lineward.scheduling.state.SchedulerContext;
import lineward.scheduling.state.TrackedRequest;

/** Keeps the requests of one key in order of arrival, for classes that require it. */
public final class KeyOrder {
    private final SchedulerContext context;
    private final KeyedQueues<TrackedRequest> queues = new KeyedQueues<>();
    /** By key, the time at which its next request may start after an indeterminate outcome. */
    private final Map<Long, Double> settledAtMs = new LinkedHashMap<>();

    /** Creates a policy over the given scheduler state. */
    public KeyOrder(SchedulerContext context) {
        this.context = context;
    }

    /** Adds an admitted request. */
    public void add(TrackedRequest request) {
        if (request.isOrdered()) {
            queues.add(request.key(), request);
        }
    }

    /** Removes a completed request that has no attempt in flight. */
    public void remove(TrackedRequest request) {
        queues.remove(request.key(), request);
    }

    /**
     * Delays the next request of the key by the settle time of the settings, because an attempt of this one
     * may still run.
     */
    public void settle(TrackedRequest request) {
        if (request.isOrdered()) {
            double untilMs = context.nowMs() + context.settings().rules().settleMs();
            settledAtMs.merge(request.key(), untilMs, Math::max);
        }
    }

    /**
     * Returns whether the request may start: it is the oldest request of its key, and it has either started
     * before or the settle time of the key has passed.
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
