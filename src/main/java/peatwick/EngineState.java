package peatwick;

import java.util.LinkedHashSet;
import java.util.Set;

/** What is recorded of one engine: its entry in the list, what is out there, what it last said. */
class EngineState<A> {
    final long id;
    final Set<A> attempts = new LinkedHashSet<>();
    /** Work sent, by any attempt, however it ended. */
    final Window sends;

    Front.Listed at;
    int cores = 1;
    double memory;
    double upSince;
    double downAt;
    /** When it was called back: cold at the most since then. */
    double backAt;

    boolean ready;
    boolean gone;
    boolean suspected;
    /** By order, whatever the list says. */
    boolean heldOut;
    /** Called back and not heard of since. */
    boolean recalled;

    int badInARow;
    double nextTrial;
    double heardAt;
    int threads;
    double held;
    /** When a probe went out that has not come back; 0 if none. */
    double probedAt;

    double turn;
    double viewAt = Double.NEGATIVE_INFINITY;
    double[] view = {};
    double bar = 1;
    /** Threads sent there since its last report. */
    int sentSince;

    EngineState(long id, double window) {
        this.id = id;
        sends = new Window(window);
    }

    /** @return whether it has started anew since it was last listed */
    boolean tell(Front.Listed l, Front.Kind kind) {
        at = l;
        cores = kind.cores();
        memory = kind.memoryMb();
        ready = l.condition() == Front.Condition.READY && !heldOut;
        gone = l.condition() == Front.Condition.GONE;
        boolean anew = l.upSince() != upSince;
        upSince = l.upSince();
        return anew;
    }

    /** Takes an order in. The list decides whether an engine called back is ready. */
    void hold(boolean out, double since) {
        heldOut = out;
        gone |= at == null;
        ready = !out && !gone && at.condition() == Front.Condition.READY;
        recalled = !out;
        backAt = out ? backAt : since;
    }

    void add(A attempt, int itsThreads, double grant) {
        attempts.add(attempt);
        threads += itsThreads;
        sentSince += itsThreads;
        held += grant;
    }

    void remove(A attempt, int itsThreads, double grant) {
        attempts.remove(attempt);
        threads -= itsThreads;
        held = attempts.isEmpty() ? 0 : held - grant;
    }

    /** Its name folded to two bytes. */
    int mark() {
        return (int) ((id ^ id >>> 16 ^ id >>> 32) & 0xffff);
    }
}
