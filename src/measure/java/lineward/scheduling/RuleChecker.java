package lineward.scheduling;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Watches what one front hears and does, and fails at the first broken rule: one final answer, never two
 * attempts at once, nothing unsafe that may run twice, further attempts within their ration.
 */
final class RuleChecker {
    private static final class Held {
        final int type;
        int attempts;
        boolean out;
        boolean mayHaveRun;
        boolean over;

        Held(int type) {
            this.type = type;
        }
    }

    private final SchedulerSettings set;
    private final Map<Long, Held> requests = new HashMap<>();
    private final Deque<Double> taken = new ArrayDeque<>();
    private final Deque<Double> further = new ArrayDeque<>();

    RuleChecker(SchedulerSettings set) {
        this.set = set;
    }

    void heard(double now, SchedulerEvent event) {
        if (event instanceof SchedulerEvent.RequestArrived a) {
            requests.put(a.request(), new Held(a.requestClass()));
            taken.add(now);
        } else if (event instanceof SchedulerEvent.AttemptEnded v) {
            Held h = requests.get(v.request());
            h.out = false;
            h.mayHaveRun |= v.outcome().mayHaveRun();
            h.over |= v.requestCompleted();
        } else if (event instanceof SchedulerEvent.RequestCancelled a) {
            requests.get(a.request()).over = true;
        }
    }

    void did(double now, SchedulerAction action) {
        if (action instanceof SchedulerAction.StartAttempt s) {
            sent(now, requests.get(s.request()));
        } else if (action instanceof SchedulerAction.Reject r) {
            Held h = requests.get(r.request());
            hold(!unsafe(h) || (!h.mayHaveRun && !h.out), "never twice: refused what may have run");
            answered(h);
        } else if (action instanceof SchedulerAction.Fail f) {
            answered(requests.get(f.request()));
        }
    }

    private void sent(double now, Held h) {
        hold(!h.over, "one answer: sent behind its end");
        hold(!h.out, "two attempts of one request out");
        hold(!unsafe(h) || !h.mayHaveRun, "never twice: sent again though it may have run");
        hold(h.attempts < set.limits().attempts().maxPerRequest(), "more attempts than allowed");
        if (h.attempts++ > 0 && set.rules().retryBudget().windowMs() > 0) {
            further.add(now);
            double from = now - set.rules().retryBudget().windowMs();
            taken.removeIf(t -> t < from);
            further.removeIf(t -> t < from);
            hold(
                    further.size()
                            <= set.rules().retryBudget().base()
                                    + set.rules().retryBudget().perRequest() * taken.size(),
                    "ration: " + further.size() + " further attempts for " + taken.size() + " requests");
        }
        h.out = true;
    }

    private static void answered(Held h) {
        hold(!h.over, "one answer: a second one");
        h.over = true;
    }

    private boolean unsafe(Held h) {
        return set.classes().get(h.type).repeatability().idempotence() == Idempotence.NON_IDEMPOTENT;
    }

    private static void hold(boolean kept, String rule) {
        if (!kept) {
            throw new AssertionError("broken rule, " + rule);
        }
    }
}
