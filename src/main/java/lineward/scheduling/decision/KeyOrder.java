package lineward.scheduling.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import lineward.scheduling.state.KeyedQueues;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/** Keeps the requests of one key in order of arrival, for classes that require it. */
public final class KeyOrder {
    private final SchedulerContext context;
    private final KeyedQueues<ScheduledRequest> queues = new KeyedQueues<>();
    /** By key, the time from which its next request may start after an indeterminate outcome. */
    private final Map<Long, Double> settledAtMs = new LinkedHashMap<>();

    /** Creates a policy over the given scheduler state. */
    public KeyOrder(SchedulerContext context) {
        this.context = context;
    }

    /** Adds an admitted request. */
    public void add(ScheduledRequest request) {
        if (request.isOrdered()) {
            queues.add(request.key(), request);
        }
    }

    /** Removes a completed request that has no attempt in flight. */
    public void remove(ScheduledRequest request) {
        queues.remove(request.key(), request);
    }

    /**
     * Delays the next request of the key by the settle time in the settings, because an attempt of the given
     * request may still be running.
     */
    public void startSettleTime(ScheduledRequest request) {
        if (request.isOrdered()) {
            double untilMs = context.nowMs() + context.settings().rules().settleMs();
            settledAtMs.merge(request.key(), untilMs, Math::max);
        }
    }

    /**
     * Returns whether key order permits an attempt now: the request is the oldest of its key, and it has had
     * an attempt before or the settle time of the key has passed. Always true for an unordered request.
     */
    public boolean isNext(ScheduledRequest request) {
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

    /** Removes the settle times that have passed. */
    public void removeSettledKeys() {
        settledAtMs.values().removeIf(atMs -> atMs <= context.nowMs());
    }
}
