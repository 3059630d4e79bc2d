package lineward.core;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import peatwick.Front;

/**
 * Drives one decision module for one pool of engines: takes events in, batches them until the next tick and
 * hands the module's actions out as commands. It knows no wire; the clock comes with each call and never goes
 * back.
 *
 * @param <X> the front's own record of a request
 */
public final class Planner<X> {
    /** Ahead of the client's deadline by this, so that the answer still finds it waiting. */
    private static final double ANSWER_AHEAD = 10;
    /** A probe that has not come back by then is answered as timed out. */
    private static final double PROBE_TAKES = 250;

    private static final double[] NO_REPORT = new double[0];
    /** Seed of the hash that numbers engines, and its multiplier (FNV-1a). */
    private static final long FNV_SEED = 0xcbf29ce484222325L;

    private static final long FNV_PRIME = 0x100000001b3L;

    private final class Request {
        final X exchange;
        final double deadline;
        final List<Attempt> attempts = new ArrayList<>(2);
        long id;
        boolean over;
        int out;
        Attempt streaming;
        double grantMb;
        int priority = 1;

        Request(X exchange, double deadline) {
            this.exchange = exchange;
            this.deadline = deadline;
        }
    }

    private static final class Attempt {
        final String engine;
        boolean isOut = true;
        boolean stopped;
        Deadlines.Entry end;

        Attempt(String engine) {
            this.engine = engine;
        }
    }

    private record Probe(double sentAt, Deadlines.Entry end) {}

    private final Front module;
    private final double stopTakesMs;
    private final Tracer<X> tracer;
    private final SlotTable<Request> requests;
    private final Deadlines deadlines = new Deadlines();
    /** Probes that are out, one an engine at most: when each was sent, and the end of its time. */
    private final Map<Long, Probe> probes = new HashMap<>();

    private final Map<String, Long> numbers = new HashMap<>();
    private final Map<Long, String> names = new HashMap<>();
    /** Engines on the list, and those held out, which keep their numbers when they leave it. */
    private final Set<String> listed = new HashSet<>();

    private final Set<String> heldOut = new HashSet<>();
    private List<Front.Event> events = new ArrayList<>();
    private List<Command<X>> commands = new ArrayList<>();
    private int open;
    private double endsAt = Double.POSITIVE_INFINITY;

    /**
     * @param module decides for this pool alone
     * @param capacity the most requests held at once; what comes beyond is refused
     * @param stopTakesMs longest from the word to give up to the attempt's end: a rerun must not overtake it
     * @param tracer is told what becomes of requests and attempts
     */
    public Planner(Front module, int capacity, double stopTakesMs, Tracer<X> tracer) {
        this.module = module;
        this.stopTakesMs = stopTakesMs;
        this.requests = new SlotTable<>(capacity);
        this.tracer = tracer;
    }

    /** @return the request's id, or {@link SlotTable#FULL} where no slot is left and it must be refused */
    public long take(double now, Demand d, X exchange) {
        double left = Math.min(d.timeLeftMs(), endsAt - now);
        Request r = new Request(exchange, now + left);
        r.id = requests.add(r);
        if (r.id != SlotTable.FULL) {
            open++;
            tracer.requestTaken(exchange);
            events.add(new Front.Arrival(
                    r.id, d.type(), 0, left, d.cost(), d.memoryMb(), d.group(), d.repeat(), d.customer()));
        }
        return r.id;
    }

    /** What is taken from now on must be over by then: what can't be is refused and may succeed elsewhere. */
    public void endAt(double at) {
        endsAt = at;
    }

    /** The client stopped waiting; nothing is owed any more. A request that is over is passed over. */
    public void abort(long request) {
        Request r = requests.get(request);
        if (r != null && !r.over) {
            close(r, Tracer.Ending.ABORTED);
            events.add(new Front.Aborted(request));
            tidy(r);
        }
    }

    /** Gives all requests that are still owed an answer the answer 'failed'. */
    public void failAll() {
        requests.forEach(r -> {
            if (!r.over) {
                commands.add(new Command.Fail<>(r.exchange));
                close(r, Tracer.Ending.FAILED);
                events.add(new Front.Aborted(r.id));
                tidy(r);
            }
        });
    }

    /**
     * An attempt has ended.
     *
     * @return whether the caller now owes the client the answer 'served': true once at most for a request
     */
    public boolean ended(long request, int attempt, Front.Outcome outcome) {
        Request r = requests.get(request);
        if (r == null || attempt >= r.attempts.size() || !r.attempts.get(attempt).isOut) {
            return false;
        }
        Attempt a = r.attempts.get(attempt);
        a.isOut = false;
        r.out--;
        deadlines.cancel(a.end);
        tracer.attemptEnded(r.exchange, attempt, outcome);
        boolean served = outcome == Front.Outcome.OK && !r.over;
        if (served) {
            close(r, Tracer.Ending.SERVED);
        } else if (r.streaming == a && !r.over) {
            close(r, Tracer.Ending.FAILED);
        }
        events.add(new Front.Verdict(request, attempt, outcome, r.over, 0, 0, NO_REPORT));
        tidy(r);
        return served;
    }

    /**
     * The answer has begun to reach the client: the attempt is the client's now, no deadline counts for it.
     *
     * @return false if the request is over or the attempt has ended or is being given up
     */
    public boolean opened(long request, int attempt) {
        Request r = requests.get(request);
        if (r == null || r.over || !r.attempts.get(attempt).isOut || r.attempts.get(attempt).stopped) {
            return false;
        }
        r.streaming = r.attempts.get(attempt);
        deadlines.cancel(r.streaming.end);
        events.add(new Front.Opened(request, attempt));
        return true;
    }

    /** Word on an attempt that is out; of one that has ended or is being given up it is nobody's. */
    public void noted(long request, int attempt, Front.NoteKind kind, double amount) {
        Request r = requests.get(request);
        if (r != null
                && attempt < r.attempts.size()
                && r.attempts.get(attempt).isOut
                && !r.attempts.get(attempt).stopped) {
            events.add(new Front.Note(request, attempt, kind, amount));
        }
    }

    /** An engine has answered a probe; late and uncalled-for answers are passed over. */
    public void probed(double now, String engine, Front.Outcome outcome, double[] report) {
        Long number = numbers.get(engine);
        if (number != null && probes.containsKey(number)) {
            probed(now, number, outcome, report);
        }
    }

    /** Word of another front end of the tier. */
    public void heard(int from, byte[] octets) {
        events.add(new Front.PeerSays(from, octets));
    }

    /** The list of engines: whole, or only what has changed. */
    public void list(boolean whole, List<EngineEntry> entries) {
        events.add(new Front.ListChange(
                whole,
                entries.stream()
                        .map(e -> new Front.Listed(
                                number(e.id()),
                                e.kind(),
                                e.weight(),
                                e.startedAtMs(),
                                e.condition(),
                                e.zone(),
                                e.cell()))
                        .toList()));
        if (whole) {
            listed.clear();
        }
        for (EngineEntry e : entries) {
            if (e.condition() == Front.Condition.GONE) {
                listed.remove(e.id());
            } else {
                listed.add(e.id());
            }
        }
        forgetOthers();
    }

    /** The module sends nothing to who is gone; engines come under ever new ids. */
    private void forgetOthers() {
        numbers.keySet().removeIf(id -> !knows(id));
        names.values().removeIf(id -> !knows(id));
    }

    /** @return whether that engine is on the list or held out */
    public boolean knows(String engine) {
        return listed.contains(engine) || heldOut.contains(engine);
    }

    /** By order an engine gets nothing from now on, whatever the list says, or is used again. */
    public void holdOut(String engine, boolean out, double at) {
        events.add(new Front.HeldOut(number(engine), out, at));
        if (out) {
            heldOut.add(engine);
        } else {
            heldOut.remove(engine);
            forgetOthers();
        }
    }

    /** The part of this front end's work that falls to this process now. */
    public void part(double part) {
        events.add(new Front.Part(part));
    }

    /** @return engines on the list */
    public int engines() {
        return listed.size();
    }

    /** @return engines on the list that the module sends nothing to now */
    public int avoided() {
        return module.avoided();
    }

    /** @return requests that are still owed an answer */
    public int open() {
        return open;
    }

    /** @return whether something has come in since the last tick */
    public boolean hasNews() {
        return !events.isEmpty();
    }

    /** Runs what is due, lets the module decide on all that came in, and hands out its commands in order. */
    public List<Command<X>> tick(double now) {
        deadlines.runDue(now);
        if (!events.isEmpty()) {
            List<Front.Event> batch = events;
            events = new ArrayList<>();
            for (Front.Action action : module.decide(now, batch)) {
                perform(action, now);
            }
        }
        List<Command<X>> due = commands;
        commands = new ArrayList<>();
        return due;
    }

    private void perform(Front.Action action, double now) {
        if (action instanceof Front.Send a) {
            send(a, now);
        } else if (action instanceof Front.Cancel a) {
            cancel(a, now);
        } else if (action instanceof Front.SetLimits a) {
            limit(a);
        } else if (action instanceof Front.Refuse a) {
            Request r = requests.get(a.request());
            if (r != null && !r.over) {
                commands.add(new Command.Refuse<>(r.exchange, Math.round(a.retryAfter())));
                close(r, Tracer.Ending.REFUSED);
                tidy(r);
            }
        } else if (action instanceof Front.Fail a) {
            Request r = requests.get(a.request());
            if (r != null && !r.over) {
                commands.add(new Command.Fail<>(r.exchange));
                close(r, Tracer.Ending.FAILED);
                tidy(r);
            }
        } else if (action instanceof Front.After a) {
            deadlines.add(now + a.delay(), at -> events.add(new Front.Wake(a.token())));
        } else if (action instanceof Front.Probe a && names.containsKey(a.engine())) {
            probe(a.engine(), now);
        } else if (action instanceof Front.Announce a) {
            commands.add(new Command.Announce<>(a.octets()));
        } else if (action instanceof Front.Log a) {
            tracer.log(a.text());
        }
    }

    private void probe(long engine, double now) {
        if (!probes.containsKey(engine)) {
            probes.put(
                    engine,
                    new Probe(
                            now,
                            deadlines.add(
                                    now + PROBE_TAKES, at -> probed(at, engine, Front.Outcome.TIMEOUT, NO_REPORT))));
            commands.add(new Command.Probe<>(names.get(engine)));
        }
    }

    private void probed(double now, long engine, Front.Outcome outcome, double[] report) {
        Probe p = probes.remove(engine);
        deadlines.cancel(p.end());
        events.add(new Front.Probed(engine, outcome, now - p.sentAt(), report));
    }

    private void send(Front.Send s, double now) {
        Request r = requests.get(s.request());
        if (r == null) {
            return;
        }
        int number = r.attempts.size();
        Attempt a = new Attempt(names.get(s.engine()));
        r.attempts.add(a);
        r.out++;
        double until = r.deadline - ANSWER_AHEAD;
        if (s.maxWait() > 0) {
            until = Math.min(until, now + s.maxWait());
        }
        if (r.over || until <= now) {
            ended(r.id, number, Front.Outcome.MOOT);
            return;
        }
        a.end = deadlines.add(until, at -> {
            commands.add(new Command.Stop<>(r.exchange, r.id, number, a.engine));
            ended(r.id, number, Front.Outcome.TIMEOUT);
        });
        tracer.attemptStarted(r.exchange, number, a.engine);
        commands.add(new Command.Start<>(
                r.exchange,
                r.id,
                number,
                a.engine,
                Math.max(1, Math.round(until - now)),
                (long) Math.min(until - now, s.beginWithin()),
                r.grantMb,
                r.priority));
    }

    private void cancel(Front.Cancel c, double now) {
        Request r = requests.get(c.request());
        if (r == null || c.attempt() >= r.attempts.size()) {
            return;
        }
        Attempt a = r.attempts.get(c.attempt());
        if (a.isOut && !a.stopped) {
            a.stopped = true;
            commands.add(new Command.Stop<>(r.exchange, r.id, c.attempt(), a.engine));
            deadlines.cancel(a.end);
            a.end = deadlines.add(now + stopTakesMs, at -> ended(r.id, c.attempt(), Front.Outcome.CANCELLED));
        }
    }

    private void limit(Front.SetLimits s) {
        Request r = requests.get(s.request());
        if (r == null) {
            return;
        }
        r.grantMb = s.grantMb();
        if (r.priority != s.priority()) {
            r.priority = s.priority();
            for (int i = 0; i < r.attempts.size(); i++) {
                Attempt a = r.attempts.get(i);
                if (a.isOut && !a.stopped) {
                    commands.add(new Command.Reprioritise<>(r.exchange, r.id, i, a.engine, r.priority));
                }
            }
        }
    }

    private void close(Request r, Tracer.Ending ending) {
        r.over = true;
        open--;
        tracer.requestEnded(r.exchange, ending);
    }

    private void tidy(Request r) {
        if (r.over && r.out == 0) {
            requests.release(r.id);
        }
    }

    /** The module's number of an engine: the same at every front end, as its turns go by these numbers. */
    private long number(String id) {
        return numbers.computeIfAbsent(id, name -> {
            long hash = FNV_SEED;
            for (int i = 0; i < name.length(); i++) {
                hash = (hash ^ name.charAt(i)) * FNV_PRIME;
            }
            long number = hash >>> 16;
            while (names.putIfAbsent(number, name) != null) {
                number++;
            }
            return number;
        });
    }
}
