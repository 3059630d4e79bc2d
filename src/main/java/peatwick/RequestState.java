package peatwick;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** What is recorded of one request that a front has taken: A its attempts, E engines. */
class RequestState<A, E> {
    final long id;
    final long key;
    final int group;
    final double taken;
    final double deadline;
    final double cost;
    final double need;
    final List<A> attempts = new ArrayList<>(2);
    final Set<E> avoid = new HashSet<>();
    int outCount;
    boolean uncut;
    boolean rerun;
    boolean sent;
    boolean over;
    boolean streaming;
    /** The engine where it may first have run, and when it went there. */
    E ran;

    double firstRan;
    double rank;
    /** Errors that it met, and the engine that gave the first. */
    int errors;

    E erred;

    RequestState(Front.Arrival e, double now) {
        id = e.request();
        key = e.key();
        group = e.group();
        taken = now;
        deadline = now + e.timeLeft();
        cost = e.cost();
        need = e.memoryMb();
    }
}
