package peatwick;

import java.util.*;

/**
 * All decisions of a front. The interface (settings, events, actions) is in Front.java.
 *
 * <p>Map for new staff, in the order of a request's life:
 * <ol>
 * <li>{@link #decide} takes events in; {@link #sweep} runs every TICK; {@link #dispatch} sends what is held.
 * <li>Arrival: {@link #take}, ranked by {@link #rank}, held until {@link #pick} draws an engine with room.
 * <li>Send: {@link #gate} alone decides whether a send is within the rules.
 * <li>Running: {@link #shouldCut} holds the clock of the paper; {@link Learner} learns tau per class.
 * <li>End: {@link #verdict} learns from the outcome; {@link #finish} alone gives final answers.
 * <li>Engines: {@link Engine} keeps speed and health; {@link #watch} suspects, trials let back in.
 * </ol>
 * Time comes from events only, chance from the seed only, and all loops run in a fixed order.
 */
public final class Control implements Front {
    /** Time between sweeps: short against any aim, long against the cost of one. */
    private static final double TICK = 25;
    /** Threads per core that a front lets all fronts together run: work done falls beyond one or two. */
    private static final double KNEE = 1.5;
    /** Share of requests never cut, so that the tail stays seen; each may cost a whole straggler. */
    private static final double UNCUT = 0.02;
    /** Outcomes of a class before its first cut: fewer do not tell a tail from chance. */
    private static final double ENOUGH = 20;
    /** Reruns seen before their mean replaces the class mean. */
    private static final double RERUNS_ENOUGH = 5;
    /** A cut must save this share of the load at least, else the estimate's noise decides. */
    private static final double GAIN = 0.02;
    /** Half-life of the histograms: longer than a trouble, shorter than a change of traffic. */
    private static final double HALF_LIFE = 60_000;
    /** Time between two reckonings of tau. */
    private static final double RECKON_EVERY = 500;
    /** Bins of a histogram of run time by estimate: from a sixteenth up, finer than tau needs to be. */
    private static final int BINS = 130;

    private static final double LOWEST = -4;
    private static final double PER_DOUBLING = 5;
    /** A report of progress older than this many note intervals says nothing any more. */
    private static final double NOTE_STALE = 2.5;
    /** A cut before tau needs notes that foretell this many reruns still to come: notes are rough. */
    private static final double EARLY = 2;
    /** A rerun whose rest is foretold to take this many reruns stands still: its engine does no work. */
    private static final double STANDSTILL = 4;
    /** Silence of an engine with work overdue: above common pauses, far below any give-up time. */
    private static final double SILENCE = 900;
    /** A query is overdue past this multiple of its expected time (and the silence above). */
    private static final double OVERDUE = 3;
    /** Time between trial requests to a suspected engine. */
    private static final double TRIAL_EVERY = 700;
    /** No note for this many note intervals is silence: the first takes up to 1.5. */
    private static final double NOTE_MISSED = 1.55;
    /** What an engine reported is trusted for so long: reports are refreshed several times a second. */
    private static final double VIEW_FOR = 1_500;
    /** Points of the result that knowledge of the engines' load may cost: far under what a jam costs. */
    private static final double VIEW_COST = 0.01;
    /** Shortest time between two looks at an engine that are paid for: reports are refreshed no faster. */
    private static final double VIEW_EVERY = 250;
    /** Lowest part of the bar on load that a front draws. Danger: all act on one figure at once. */
    private static final double BAR_LOW = 0.8;
    /** Engines looked at in one turn: a message has a cost of its own, whatever it says. */
    private static final int AT_ONCE = 4;
    /** Token of the timer for this front's turns to look at engines for all. */
    private static final int DUTY = 1;
    /** Trials for each request taken, and how many are saved up. Danger: those of all fronts add up. */
    private static final double TRIAL_PART = 0.1;

    private static final double TRIALS_SAVED = 2;
    /** Bad outcomes in a row that make an engine suspected. */
    private static final int BAD_IN_A_ROW = 3;
    /** Resets in a row that tell of a process that ended: a single connection may break for itself. */
    private static final int RESETS_IN_A_ROW = 2;
    /** Errors by which a request counts as one that no engine can run. */
    private static final int ERRORS = 3;
    /** With fewer sound engines than this share, suspicion is as likely ours: use them all. */
    private static final double FEW_SOUND = 0.34;
    /** Memory of an engine's relative speed. */
    private static final double SPEED_HALF_LIFE = 3_000;
    /** Memory of the part of its requests that an engine fails: some answers at one engine of many. */
    private static final double FAULTS_HALF_LIFE = 10_000;
    /** Good answers assumed beside those of one engine. */
    private static final double DOUBT_ONE = 2;
    /** Answers of this last while tell the fleet's slowdown: shorter than a trouble, some answers long. */
    private static final double RECENT = 5_000;
    /** Answers as usual that are assumed beside those seen: a few do not tell slowness from chance. */
    private static final double DOUBT = 5;
    /** Part of the cold budget that is used: capacity is reckoned with cores not quite busy; cores differ. */
    private static final double COLD_PART = 0.4;
    /** Up to so many fronts, own counts stand for the fleet; with more, most load is unseen. */
    private static final double FEW_FRONTS = 4;
    /** Crowding assumed of what is not seen, in threads a core: a busy fleet below its knee. */
    private static final double UNSEEN = 0.7;
    /** Score by which unseen load differs between engines of one kind: spread that chance alone makes. */
    private static final double BLUR = 0.3;
    /** Blur left where all is seen: breaks ties. */
    private static final double TIE = 0.01;
    /** Least part of an engine's cores that counts as free for a class that may run anywhere. */
    private static final double LEAST_SPARE = 0.05;
    /** Part of a cold engine's warming that its budget counts on: it may warm late, or not evenly. */
    private static final double WARMS = 0.75;
    /** Run time of a class assumed at first, as a part of its give-up time, and the weight of that guess. */
    private static final double FIRST_GUESS = 0.125;

    private static final double GUESS_WEIGHT = 1;
    /** Fronts that use a cold engine at once: enough to fill it, few enough for a request each. */
    private static final int TURNS = 4;
    /** Score added for sending where a load holds the group, or a load onto readers. */
    private static final double CLASH = 1.5;
    /** Moves of a request: where two found no room, more only multiply sends onto engines just back. */
    private static final int MOVES = 2;
    /** Memory granted over the estimate at first, and the quantile of need it is moved towards. */
    private static final double GRANT_START = 1.25;

    private static final double GRANT_QUANTILE = 0.98;
    /** An outcome further off the usual (as a logarithm) is a straggler, and no sign of crowding. */
    private static final double STRAGGLES = 1.5;
    /** How much one outcome moves the usual at least. */
    private static final double USUAL_MOVES = 0.02;
    /** A margin before the deadline in which a held request is given its answer. */
    private static final double ANSWER_MARGIN = 60;
    /** Expected run time that must fit before the aim, as a part of the estimate: estimates scatter. */
    private static final double FIT = 0.8;
    /** Part of the aim past which a run is given up where late answers are worth nothing: aims are rough. */
    private static final double HOPE = 0.3;
    /** Slowdown of the fleet below which a front with requests held takes a larger share. */
    private static final double CALM = 1.3;

    /** Advice to a refused client, as a part of the aim: the queue has moved on, the aim may still be met. */
    private static final double RETRY_AFTER = 0.25;
    /** Unit of time where there is no estimate, as a part of the aim: only the first guess depends on it. */
    private static final double RAW_UNIT = 0.3;

    /** Least multiple of an even share. Danger: a false alarm of crowding would feed on itself. */
    private static final double SHARE_LEAST = 1.3;

    /** With work held while all is calm a front has the whole fleet after this: the longest time judged. */
    private static final double ALONE_AFTER = 10_000;

    private final Settings set;
    private final SplittableRandom random;
    private final TreeMap<Long, Engine> engines = new TreeMap<>();
    private final Map<Long, Request> requests = new LinkedHashMap<>();
    private final KeyLines<Request> lines = new KeyLines<>();
    private final Map<Long, Double> rests = new LinkedHashMap<>();
    private final List<Learner> learners = new ArrayList<>();
    private final List<Try> stuck = new ArrayList<>();
    /** All classes together, in units of the estimate: stands in for a class with too little of its own. */
    private final Learner all = new Learner(null);

    private final Window taken, further;
    /** How much slower than usual the last answers were, whatever engine gave them. */
    private final Recent recent = new Recent(RECENT);

    private List<Request> held = new ArrayList<>();
    private List<Action> out = new ArrayList<>();
    private double now;
    private boolean ask, waking, blocked, succeeds;
    private double part = 1, partBefore = 1, partAt = Double.NEGATIVE_INFINITY;
    private double trials = TRIALS_SAVED, nextReckon, share, fleetSlow = 1, readyCores = 1;
    /** Part of an engine's load that this front does not see: 0 for few fronts, near 1 for hundreds. */
    private final double blind;

    private double lastLog = Double.NEGATIVE_INFINITY;
    /** Places of the load figures in a report, or -1. */
    private final int inHand, memoryUsed;

    private double startedAt = Double.NaN, asked, perQuery = 1, crowding = UNSEEN;
    private final Words words;

    /**
     * @param settings what the site permits and asks for
     * @param seed of this front's chance
     */
    public Control(Settings settings, long seed) {
        this.set = settings;
        taken = new Window(settings.rules().extraWindow());
        further = new Window(settings.rules().extraWindow());
        this.random = new SplittableRandom(seed);
        settings.classes().forEach(c -> learners.add(new Learner(c)));
        ask = settings.askForList();
        blind = Math.max(0, 1 - FEW_FRONTS / settings.fronts());
        share = Math.min(1, SHARE_LEAST / settings.fronts());
        words = new Words(settings.report());
        inHand = settings.report().indexOf(ReportField.IN_HAND);
        memoryUsed = settings.report().indexOf(ReportField.MEMORY);
    }

    @Override
    public List<Action> decide(double clock, List<? extends Event> events) {
        now = clock;
        out = new ArrayList<>();
        if (ask) {
            ask = false;
            out.add(new Subscribe());
        }
        if (Double.isNaN(startedAt)) {
            startedAt = now;
            if (pooled()) {
                out.add(new After(random.nextDouble() * VIEW_EVERY, DUTY));
            }
        }
        events.forEach(this::handle);
        // Danger: after a stall a wake comes ahead of answers long there; read all, then judge.
        if (events.stream().anyMatch(e -> e instanceof Wake)) {
            sweep();
        }
        for (Try a : stuck) {
            if (a.isOut && a.waiting && mayMove(a)) {
                a.moved = true;
                cut(a);
            }
        }
        stuck.clear();
        // Words come far more often than requests: what they change waits for the next sweep.
        if (events.stream().anyMatch(e -> !(e instanceof PeerSays))) {
            dispatch();
        }
        if (words.waiting() > 0 && engines.values().stream().noneMatch(e -> now - e.probedAt < TICK)) {
            out.add(new Announce(words.take()));
        }
        if (!waking && !requests.isEmpty()) {
            waking = true;
            out.add(new After(TICK, 0));
        }
        return out;
    }

    @Override
    public int avoided() {
        return (int) engines.values().stream()
                .filter(e -> !e.gone && (e.suspected || e.heldOut))
                .count();
    }

    private void handle(Event event) {
        if (event instanceof Arrival e) {
            take(e);
        } else if (event instanceof Verdict e) {
            verdict(e);
        } else if (event instanceof Note e) {
            note(e);
        } else if (event instanceof Wake e) {
            waking &= e.token() == DUTY;
            if (e.token() == DUTY) {
                duty();
            }
        } else if (event instanceof Probed e && engines.containsKey(e.engine())) {
            probed(e, engines.get(e.engine()));
        } else if (event instanceof PeerSays e) {
            hear(e.octets());
        } else if (event instanceof ListChange e) {
            list(e);
        } else if (event instanceof HeldOut e) {
            hold(e);
        } else if (event instanceof Part e) {
            partBefore = coldPart();
            partAt = now;
            part = e.part();
            succeeds |= part < 1;
        } else if (event instanceof Aborted e && requests.containsKey(e.request())) {
            over(requests.get(e.request()));
        } else if (event instanceof Opened e && requests.containsKey(e.request())) {
            requests.get(e.request()).streaming = true;
        } else if (event instanceof ListFailed) {
            ask = set.askForList();
        }
    }

    // ---- arrival and the hold queue

    private void take(Arrival e) {
        Learner c = learners.get(Math.min(e.type(), learners.size() - 1));
        Request r = new Request(e, c, now);
        r.uncut = random.nextDouble() < UNCUT;
        requests.put(r.id, r);
        if (r.cost > 0) {
            c.works.add(now, r.work());
        }
        taken.add(now, 1);
        asked++;
        trials = Math.min(TRIALS_SAVED, trials + TRIAL_PART);
        c.workTaken += r.work();
        c.taken++;
        if (c.spec.inOrder() && r.key != 0) {
            lines.add(r.key, r);
        }
        // Danger: a try may come with hardly any time left; its answer cannot wait for the next sweep.
        if (cannotMakeIt(r)) {
            finish(r);
        } else {
            held.add(r);
        }
    }

    /** Worth per work, more as the slack goes; what is already late counts by its late share only. */
    private double rank(Request r) {
        double slack = r.aimAt - now - r.expected() * r.c.slow;
        double worth = r.c.spec.worth() * (slack < 0 ? r.c.spec.lateShare() : 1);
        double urgency = slack < 0 ? 1 : 1 + 2 * (now - r.taken) / Math.max(1, r.aimAt - r.taken);
        return worth * urgency * (r.rerun ? 2 : 1) / Math.max(1, r.work());
    }

    /** Sends what is held, best first, while engines have room. */
    private void dispatch() {
        blocked = false;
        if (held.isEmpty()) {
            return;
        }
        learners.forEach(c -> c.shut = false);
        for (Request r : held) {
            r.rank = rank(r);
        }
        held.sort((a, b) -> a.rank != b.rank ? Double.compare(b.rank, a.rank) : Long.compare(a.id, b.id));
        List<Request> still = new ArrayList<>();
        for (Request r : held) {
            if (r.over || r.sent) {
                continue;
            }
            Engine e = ordered(r) && !r.c.shut ? pick(r) : null;
            if (e == null) {
                blocked |= ordered(r);
                still.add(r);
            } else {
                send(r, e);
            }
        }
        held = still;
    }

    /** Danger: on crowded engines, runs that can earn nothing any more take the place of those that can. */
    private boolean worthless(Try a) {
        Request r = a.r;
        boolean lineTooLong = a.waiting && a.share == 0 && now + FIT * r.expected() > r.aimAt;
        return r.c.spec.effect() == Effect.SAFE
                && (lineTooLong || r.c.spec.lateShare() == 0 && now > r.aimAt + HOPE * r.c.spec.aim());
    }

    private boolean cannotMakeIt(Request r) {
        if (now > r.deadline - ANSWER_MARGIN) {
            return true;
        }
        double end = now + FIT * r.expected() * Math.min(r.c.slow, 2);
        return end > (r.c.spec.lateShare() > 0 ? r.deadline : r.aimAt);
    }

    // ---- choice of engine

    private Engine pick(Request r) {
        int sound = 0, allowed = 0;
        for (Engine e : engines.values()) {
            if (e.ready && placed(r.c.spec, e)) {
                allowed++;
                sound += e.suspected ? 0 : 1;
            }
        }
        // Danger: a fault of our own eyes (or of all engines) would leave nobody to send to.
        boolean useAll = sound < FEW_SOUND * allowed;
        r.c.shut = !fleetRoom(r, useAll); // until the next dispatch: what is sent meanwhile only takes room
        if (r.c.shut) {
            return null;
        }
        Engine best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (Engine e : engines.values()) {
            boolean trial = e.suspected
                    && now >= e.nextTrial
                    && trials >= 1
                    && !r.rerun
                    && r.c.spec.effect() == Effect.SAFE
                    && r.aimAt - now > 3 * r.expected();
            if (e.suspected && !trial && !(useAll && now >= e.nextTrial)
                    || e.probedAt > 0 && now - e.probedAt >= TICK
                    || r.avoid.contains(e) && allowed > r.avoid.size()
                    || !room(r, e)
                    || !gate(r, e)) {
                continue;
            }
            double luck = -Math.log(-Math.log(1 - random.nextDouble() * 0.999999 - 5e-7));
            // Danger: a cold engine never looks best; what is called back must be used all the same.
            boolean first = trial && !useAll || e.recalled && e.attempts.isEmpty();
            double s = first
                    ? Double.NEGATIVE_INFINITY
                    : score(r, e) - (TIE + BLUR * blind) * (Math.log(capacityLeft(r.c, e)) + luck);
            if (s < bestScore) {
                bestScore = s;
                best = e;
            }
        }
        return best;
    }

    /**
     * Room in this front's part of all engines. Danger: where its part of an engine holds no whole request it
     * may still send one, and of a hundred fronts each would fill every engine. Past a full part each class
     * goes out within its share of the worth asked for: else what is worth more would fill the part a second
     * time and jam the engines for all. A class with nothing out waits for the time that its share takes.
     */
    private boolean fleetRoom(Request r, boolean useAll) {
        if (pooled() && set.fronts() <= FEW_FRONTS) {
            return true;
        }
        double open = 0, there = 0, own = 0, threads = r.c.spec.threads();
        for (Engine e : engines.values()) {
            if (e.ready && (useAll || !e.suspected)) {
                if (window(e) >= threads) {
                    return true;
                }
                open += window(e);
                there += e.threads;
                own += e.attempts.stream().filter(a -> a.r.c == r.c).count() * threads;
            }
        }
        return there == 0
                || there + threads <= open
                || own + threads <= open * r.c.askedShare
                || own == 0 && now - r.c.sentAt >= r.expected() * threads / (open * r.c.askedShare);
    }

    /** Threads that this front may have at an engine. */
    private double window(Engine e) {
        return KNEE * e.cores * share * Math.min(1, e.speed());
    }

    /** Expected crowding on the engine, in its own speed, and what clashes or is warm there. */
    private double score(Request r, Engine e) {
        if (e.cold() && set.fronts() > TURNS && now + r.expected() / set.rules().coldShare() < r.aimAt) {
            return 0;
        }
        double there = e.seen() ? e.load() : e.threads + crowding * blind * e.cores;
        double s = (there + r.c.spec.threads() + 0.3 * e.cores) / (e.cores * e.speed());
        if (e.seen() && memoryUsed >= 0) {
            s = Math.max(s, e.view[memoryUsed] + 0.3);
        } else if (e.memory > 0) {
            s = Math.max(s, 1.2 * (e.held + r.grant(e)) / (e.memory * Math.max(share, 1 / FEW_FRONTS)));
        }
        for (Try a : e.attempts) {
            if (a.r.group == r.group
                    && (a.r.c.spec.load() && (r.c.spec.waitsForLoads() || r.c.spec.load())
                            || r.c.spec.load() && a.r.c.spec.waitsForLoads())) {
                s += CLASH;
                break;
            }
        }
        return s + (e.at.zone() == set.zone() ? 0 : 0.02);
    }

    /**
     * Cores that other classes' bindings leave to this class there; engines are drawn in proportion. Danger:
     * of hundreds of fronts each sees every engine empty and takes what looks best to all.
     */
    private double capacityLeft(Learner c, Engine e) {
        double bound = 0;
        for (Learner other : learners) {
            if (other.openCores < c.openCores && placed(other.spec, e)) {
                bound += other.workShare * readyCores / other.openCores;
            }
        }
        return e.cores * Math.max(LEAST_SPARE, 1 - bound);
    }

    /** Below the knee work done rises with threads, past it falls: the rest is held here and ranked. */
    private boolean room(Request r, Engine e) {
        if (e.seen()) {
            return e.load() + r.c.spec.threads() <= KNEE * e.cores * Math.min(1, e.speed()) * e.bar;
        }
        boolean memory =
                e.memory <= 0 || e.attempts.isEmpty() || e.held + r.grant(e) <= e.memory * Math.min(1, share * 1.2);
        return e.threads < Math.max(1, window(e)) && memory;
    }

    // ---- what engines report

    private boolean pooled() {
        return set.limits().probes() && set.limits().peers() && inHand >= 0;
    }

    /** Looks at some engines and tells all fronts, as often as that may cost for the traffic brought here. */
    private void duty() {
        List<Engine> oldest = new ArrayList<>();
        for (Engine e : engines.values()) {
            if (e.ready && e.probedAt == 0) {
                e.turn = e.viewAt - random.nextDouble() * VIEW_EVERY; // or all would ask the same one
                oldest.add(e);
            }
        }
        oldest.sort((a, b) -> Double.compare(a.turn, b.turn));
        oldest.stream().limit(AT_ONCE).forEach(this::probe);
        double cost = set.prices().probe() + set.prices().peer() * words.size() * (set.fronts() - 1) / Words.LONGEST;
        double perMs = Math.max(1, asked) / Math.max(1000, now - startedAt);
        double every = Math.max(VIEW_EVERY * set.fronts() / (oldest.size() + 1), cost / VIEW_COST / perMs);
        out.add(new After(Math.min(10_000, AT_ONCE * every) * (0.5 + random.nextDouble()), DUTY));
    }

    private void probe(Engine e) {
        e.probedAt = now;
        out.add(new Probe(e.id));
    }

    private void probed(Probed p, Engine e) {
        e.probedAt = 0;
        if (p.outcome() == Outcome.OK) {
            e.report(p.report());
            say(e);
        } else if (p.outcome() != Outcome.FULL) {
            suspect(e, "answers no probe");
        }
    }

    private void say(Engine e) {
        if (pooled() && words.waiting() < Words.LONGEST - words.size() && e.seen()) {
            words.add(new Words.Word(e.mark(), e.view));
        }
    }

    /** Danger: words may be late or of engines not known here; those are passed over. */
    private void hear(byte[] octets) {
        for (Words.Word word : words.read(octets)) {
            for (Engine e : engines.values()) {
                if (e.mark() == word.mark()) {
                    e.report(word.figures());
                }
            }
        }
    }

    // ---- the gate: every send passes here

    private boolean gate(Request r, Engine e) {
        return e.ready
                && placed(r.c.spec, e)
                && !r.over
                && now < r.deadline
                && r.attempts.size() < set.limits().maxAttempts()
                && r.outCount == 0
                && ordered(r)
                && repeatable(r, e)
                && coldAllows(r, e)
                && (r.attempts.isEmpty() || budgetLeft() >= 1);
    }

    private static boolean placed(RequestClass c, Engine e) {
        return (c.onlyKinds() == null || c.onlyKinds().contains(e.at.kind()))
                && (c.onlyZones() == null || c.onlyZones().contains(e.at.zone()));
    }

    /** Time left to begin an attempt. Danger: an effect twice, also where a repeat waits for a connection. */
    private double beginWithin(Request r) {
        return r.ran == null || r.c.spec.effect() == Effect.SAFE
                ? Double.POSITIVE_INFINITY
                : r.c.spec.effect() == Effect.KEYED ? r.firstRan + r.c.spec.keyTtl() - now : 0;
    }

    private boolean repeatable(Request r, Engine e) {
        return beginWithin(r) > 0
                && (r.ran == null
                        || r.c.spec.effect() == Effect.SAFE
                        || switch (r.c.spec.scope()) {
                            case ALL -> true;
                            case ZONE -> r.ran.at.zone() == e.at.zone();
                            case CELL -> r.ran.at.cell() == e.at.cell();
                        });
    }

    /** Danger: two of one key at once, or out of turn; a key rests after an outcome that leaves doubt. */
    private boolean ordered(Request r) {
        if (r.key == 0 || !r.c.spec.inOrder()) {
            return true;
        }
        return lines.isFirst(r.key, r) && (!r.attempts.isEmpty() || now >= rests.getOrDefault(r.key, 0.0));
    }

    private double budgetLeft() {
        return set.rules().extraWindow() <= 0
                ? Double.POSITIVE_INFINITY
                : set.rules().extraFree() + set.rules().extraPerRequest() * taken.sum(now) - further.sum(now);
    }

    /**
     * Danger: a cold engine falls over. Few fronts share the least that the rule allows in any window; more
     * take turns without talking: a slot of one window for a few fronts each, by ordinal and engine. A window
     * meets two slots at the most, hence half.
     */
    private boolean coldAllows(Request r, Engine e) {
        if (!e.cold() || set.rules().overloadFactor() <= 0) {
            return true;
        }
        // Danger: a front just started has forgotten what it sent there a moment ago. One that takes over
        // from another process has its half of the budget, and the whole of it one window later.
        double sent = e.sends.sum(now) + Math.max(r.work(), r.c.usualWork());
        boolean forgot = !succeeds && now - startedAt < set.rules().fallMs() && startedAt > e.coldFrom();
        double budget = COLD_PART
                * set.rules().overloadFactor()
                * e.sureOf()
                * e.cores
                * set.rules().fallMs()
                * coldPart();
        if (set.fronts() <= TURNS) {
            return !forgot && sent <= budget / set.fronts();
        }
        long slot = (long) ((now - e.coldFrom()) / set.rules().fallMs());
        long turn = Math.floorMod(set.ordinal() - e.id - slot * TURNS, (long) set.fronts());
        return !forgot && turn < TURNS && sent <= budget / 2 / TURNS;
    }

    /** What another process sent counts for a window yet: a larger part holds only then. */
    private double coldPart() {
        return now - partAt < set.rules().fallMs() ? Math.min(part, partBefore) : part;
    }

    private void send(Request r, Engine e) {
        if (e.attempts.isEmpty()) {
            e.heardAt = now;
        }
        Try a = new Try(r, e, r.attempts.size(), now);
        a.trial = e.suspected;
        a.first = !r.rerun;
        if (e.suspected) {
            e.nextTrial = now + TRIAL_EVERY;
            trials = Math.max(0, trials - 1);
        }
        if (set.limits().grants() || set.limits().priorities()) {
            // Where engines page, memory in use counts up to the need: a larger grant takes from nobody.
            double grant = set.limits().whenShort() == WhenShort.PAGE
                    ? e.memory * set.limits().mostGrant()
                    : r.grant(e);
            out.add(new SetLimits(r.id, set.limits().grants() ? grant : 0, priority(r)));
        }
        out.add(new Send(r.id, e.id, 0, beginWithin(r)));
        if (!r.attempts.isEmpty()) {
            further.add(now, 1);
        }
        a.grant = r.grant(e);
        r.attempts.add(a);
        r.c.sentAt = now;
        r.outCount++;
        r.sent = true;
        e.add(a, r.c.spec.threads(), a.grant);
        e.sends.add(now, Math.max(r.work(), r.c.usualWork()));
    }

    /** Short work first, loads ahead of long reads as they hold their group, what is late last. */
    private int priority(Request r) {
        if (now + r.expected() > r.aimAt) {
            return 0;
        }
        double most = learners.stream()
                .mapToDouble(c -> c.works.mean(now, 1e-9, 0))
                .max()
                .orElse(0);
        return r.work() < most * 0.3 ? 3 : r.c.spec.load() || r.rerun ? 2 : 1;
    }

    // ---- running: the clock of the paper

    /** Past tau the attempt is cut. Its time is divided by the slowdown that all engines show. */
    private boolean shouldCut(Try a) {
        Request r = a.r;
        Learner c = r.c;
        if (!set.limits().cancel()
                || r.over
                || r.streaming
                || a.cut
                || c.spec.effect() == Effect.UNSAFE
                || c.spec.effect() == Effect.KEYED && c.spec.scope() != Scope.ALL
                || r.attempts.size() >= set.limits().maxAttempts()) {
            return false;
        }
        double age = a.age(now) / c.slow;
        double rerun = c.rerunRatio() * r.unit * c.slow;
        if (r.deadline - now < rerun) {
            return false;
        }
        if (a.e.suspected && (!a.trial || now - a.sentAt > 2 * r.expected() + 300)) {
            return spare(r, a.e);
        }
        boolean fresh =
                a.share > 0 && now - a.shareAt < NOTE_STALE * set.limits().notesEvery();
        double remaining = fresh ? a.age(a.shareAt) * (1 - a.share) / a.share : 0;
        // Danger: an engine that stands still but sends notes is not silent; its reruns would never end.
        if (r.rerun && !a.waiting && remaining > STANDSTILL * rerun) {
            return spare(r, a.e);
        }
        if (r.rerun
                || r.uncut
                || a.waiting
                || all.seen < ENOUGH
                || c.seen >= ENOUGH && c.tau == Double.POSITIVE_INFINITY) {
            return false;
        }
        // Theorem 2 for this attempt: one nearly done is spared, a clear straggler need not wait.
        boolean past = age / r.unit >= c.tau;
        if (fresh) {
            a.early = !past && remaining > EARLY * rerun;
            past = past && remaining >= rerun || a.early;
            a.foretold = age + remaining;
        }
        return past && spare(r, a.e);
    }

    /** Danger: where all engines are full it would only go round, so the last attempt stays for a rerun. */
    private boolean mayMove(Try a) {
        Request r = a.r;
        return set.limits().cancel()
                && r.c.spec.effect() == Effect.SAFE
                && !r.over
                && !r.streaming
                && !a.cut
                && r.attempts.size() <= MOVES
                && r.attempts.size() < set.limits().maxAttempts() - 1
                && a.share == 0
                && now + r.expected() < r.aimAt
                && spare(r, a.e);
    }

    /** Whether another sound engine could take the rerun now: else relaunches heap up on busy engines. */
    private boolean spare(Request r, Engine from) {
        long cutting = engines.values().stream()
                .flatMap(e -> e.attempts.stream())
                .filter(a -> a.cut)
                .count();
        if (budgetLeft() < 1 + cutting
                || r.c.spec.effect() == Effect.KEYED && now + SILENCE > r.attempts.get(0).sentAt + r.c.spec.keyTtl()) {
            return false;
        }
        for (Engine e : engines.values()) {
            if (e != from
                    && e.ready
                    && !e.suspected
                    && placed(r.c.spec, e)
                    && !r.avoid.contains(e)
                    && room(r, e)
                    && coldAllows(r, e)) {
                return true;
            }
        }
        return false;
    }

    private void cut(Try a) {
        a.cut = true;
        out.add(new Cancel(a.r.id, a.leg));
    }

    /** The attempt if it is still out: what is said of others is passed over. */
    private Try find(long request, int attempt) {
        Request r = requests.get(request);
        boolean known = r != null && attempt < r.attempts.size() && r.attempts.get(attempt).isOut;
        return known ? r.attempts.get(attempt) : null;
    }

    private void note(Note n) {
        Try a = find(n.request(), n.attempt());
        if (a == null) {
            return;
        }
        a.e.heardAt = now;
        boolean waits = n.kind() == NoteKind.WAITS_FOR_LOAD || n.kind() == NoteKind.WAITS_FOR_MEMORY;
        a.setWaiting(waits, now);
        if (waits) {
            stuck.add(a);
        }
        if (n.kind() == NoteKind.PROGRESS) {
            a.share = n.amount();
            a.shareAt = now;
        } else if (n.kind() == NoteKind.SPILLS) {
            a.r.c.spilled();
        }
    }

    // ---- the end of attempts and requests

    private void verdict(Verdict v) {
        Try a = find(v.request(), v.attempt());
        if (a == null) {
            return;
        }
        Request r = a.r;
        a.isOut = false;
        r.outCount--;
        a.e.remove(a, r.c.spec.threads(), a.grant);
        learn(r, a, v);
        boolean doubt =
                v.outcome() == Outcome.TIMEOUT || v.outcome() == Outcome.RESET || v.outcome() == Outcome.CANCELLED;
        if (doubt && r.key != 0 && r.c.spec.inOrder()) {
            rests.merge(r.key, now + set.rules().settleMs(), Math::max);
        }
        if (v.outcome().mayHaveRun && v.outcome() != Outcome.OK && r.ran == null) {
            r.ran = a.e;
            r.firstRan = a.sentAt;
        }
        if (!r.over && (v.ended() || v.outcome() == Outcome.OK)) {
            over(r);
        } else if (!r.over && r.outCount == 0) {
            again(r, a, v.outcome());
        }
        tidy(r);
    }

    /** A further attempt where the effect allows it and time is left; else the answer at once. */
    private void again(Request r, Try a, Outcome o) {
        if (beginWithin(r) <= 0
                || r.attempts.size() >= set.limits().maxAttempts()
                || cannotMakeIt(r)
                || o == Outcome.MOOT
                || r.errors >= ERRORS) {
            finish(r);
            return;
        }
        r.rerun |= a.cut && !a.trial && !a.moved;
        r.avoid.add(a.e);
        r.sent = false;
        held.add(r);
    }

    private void learn(Request r, Try a, Verdict v) {
        double age = a.age(now) / r.c.slow / r.unit;
        switch (v.outcome()) {
            case OK -> {
                a.e.heardAt = now;
                a.e.badInARow = 0;
                a.e.faults.add(now, 0);
                a.e.suspected = a.e.recalled = false;
                if (a.first) {
                    r.c.ran(age, true);
                    if (r.cost == 0) {
                        r.c.works.add(now, a.age(now) * r.c.spec.threads());
                    }
                    all.ran(age, true);
                    all.usual.add(Math.log(age));
                    double log = Math.log(Math.max(1e-9, a.age(now) / r.unit));
                    double off = r.c.usual.add(log);
                    a.e.slowness.add(now, off);
                    r.c.recent.add(now, off);
                    recent.add(now, off);
                } else if (r.rerun) {
                    r.c.reruns.add(now, age);
                }
                if (v.memoryMb() > 0 && r.need > 0) {
                    double off = r.c.memoryOff.add(Math.log(v.memoryMb() / r.need));
                    r.c.needed(Math.exp(off));
                }
                if (v.work() > 0 && r.cost > 0) {
                    r.c.workOff.add(Math.log(v.work() / r.cost));
                }
            }
            case CANCELLED, RESET, TIMEOUT -> {
                if (a.first && !a.moved) {
                    // Danger: leaving at an early cut, stragglers alone would fade from the curve's tail.
                    double least = a.early ? Math.min(r.c.tau, a.foretold / r.unit) : 0;
                    r.c.ran(Math.max(age, least), false);
                }
                if (v.outcome() == Outcome.RESET) {
                    bad(a.e, "resets");
                    if (a.e.badInARow >= RESETS_IN_A_ROW) {
                        a.e.downAt = now;
                    }
                }
            }
            case CONNECT_FAILED -> {
                a.e.badInARow = BAD_IN_A_ROW;
                a.e.downAt = now;
                bad(a.e, "refuses connections");
            }
            case ERROR -> blame(r, a.e);
            default -> {}
        }
    }

    /** The client's time is up, or it left, or it has its answer: nothing more is sent. */
    private void over(Request r) {
        r.over = true;
        for (Try a : r.attempts) {
            if (a.isOut && !a.cut && set.limits().cancel()) {
                cut(a);
            }
        }
        tidy(r);
    }

    /** Every final answer passes here. A refusal promises that nothing ran or that a repeat is harmless. */
    private void finish(Request r) {
        boolean harmless = switch (r.c.spec.effect()) {
            case SAFE -> true;
            case KEYED -> r.ran == null && r.outCount == 0 || r.c.spec.scope() == Scope.ALL;
            case UNSAFE -> r.ran == null && r.outCount == 0;
        };
        double wait = Math.min(set.limits().maxRetryAfter(), r.c.spec.aim() * RETRY_AFTER);
        out.add(harmless ? new Refuse(r.id, set.limits().retryAfter() ? wait : 0) : new Fail(r.id));
        over(r);
    }

    private void tidy(Request r) {
        if (!r.over || r.outCount > 0) {
            return;
        }
        requests.remove(r.id);
        lines.remove(r.key, r);
    }

    // ---- the sweep

    private void sweep() {
        reckon();
        engines.values().forEach(this::watch);
        for (Engine e : engines.values()) {
            for (Try a : new ArrayList<>(e.attempts)) {
                if (shouldCut(a)) {
                    cut(a);
                } else if (set.limits().cancel() && !a.r.over && !a.r.streaming && worthless(a)) {
                    finish(a.r);
                }
            }
        }
        for (Request r : held) {
            if (!r.over && !r.sent && cannotMakeIt(r)) {
                finish(r);
            }
        }
        rests.values().removeIf(t -> t <= now);
        engines.values().removeIf(e -> e.gone && !e.heldOut && e.attempts.isEmpty() && e.sends.sum(now) == 0);
    }

    private void reckon() {
        if (now < nextReckon) {
            return;
        }
        nextReckon = now + RECKON_EVERY;
        Map<Learner, List<Double>> stillOut = new HashMap<>();
        learners.forEach(c -> stillOut.put(c, new ArrayList<>()));
        for (Engine e : engines.values()) {
            for (Try a : e.attempts) {
                if (a.first && !a.cut) {
                    stillOut.get(a.r.c).add(a.age(now) / a.r.unit);
                }
            }
        }
        fleetSlow = Math.max(1, Math.exp(recent.middle(now, DOUBT, List.of())));
        learners.forEach(c -> c.reckon(stillOut.get(c)));
        double work = learners.stream().mapToDouble(c -> c.workTaken).sum();
        double worth =
                learners.stream().mapToDouble(c -> c.taken * c.spec.worth()).sum();
        for (Learner c : learners) {
            c.workShare = c.workTaken / Math.max(1, work);
            c.askedShare = c.taken * c.spec.worth() / Math.max(1e-9, worth);
            c.openCores = engines.values().stream()
                    .filter(e -> e.ready && placed(c.spec, e))
                    .mapToDouble(e -> e.cores)
                    .sum();
        }
        perQuery = work <= 0
                ? 1
                : work
                        / learners.stream()
                                .mapToDouble(c -> c.workTaken / c.spec.threads())
                                .sum();
        all.reckon(List.of());
        double least = Math.min(1, SHARE_LEAST / set.fronts());
        boolean calm = pooled() ? crowding < KNEE * BAR_LOW : learners.stream().allMatch(c -> c.slow < CALM);
        double growth = pooled() ? 1.3 : Math.pow(set.fronts(), RECKON_EVERY / ALONE_AFTER);
        share = blocked && calm ? Math.min(1, share * growth) : Math.max(least, share / (calm ? 1.05 : growth));
    }

    // ---- engines: list, health

    private void list(ListChange change) {
        if (change.whole()) {
            for (Engine e : engines.values()) {
                e.ready = false;
                e.gone = true;
            }
        }
        for (Listed l : change.engines()) {
            Engine e = engines.computeIfAbsent(l.engine(), id -> new Engine(id));
            if (e.tell(l, set.kinds().get(Math.min(l.kind(), set.kinds().size() - 1)))) {
                e.suspected = false;
                e.badInARow = 0;
            }
        }
        countCores();
    }

    /** Danger: no list clears an order; an engine held out is restarted meanwhile and comes back cold. */
    private void hold(HeldOut order) {
        Engine e = engines.computeIfAbsent(order.engine(), id -> new Engine(id));
        e.hold(order.out(), order.at());
        e.suspected &= order.out();
        e.badInARow = 0;
        countCores();
    }

    private void countCores() {
        readyCores = engines.values().stream()
                .filter(e -> e.ready)
                .mapToDouble(e -> e.cores)
                .sum();
    }

    /** Suspects an engine that has work overdue and has said nothing for long: no answer, no note. */
    private void watch(Engine e) {
        double notes = set.limits().notesEvery(), silent = now - e.heardAt, waited = 0;
        if (e.suspected || silent < SILENCE) {
            return;
        }
        // Danger: a front of many hears little from one engine; a single straggler there is no silence.
        boolean late = false;
        for (Try a : e.attempts) {
            double out = now - a.sentAt, usual = a.r.expected() * a.r.c.slow;
            // Danger: what stands in line is told once and then says nothing; that is no silence.
            boolean noNote = !a.waiting && notes > 0 && Math.min(out, silent) > notes * NOTE_MISSED;
            late |= !a.waiting && out > OVERDUE * usual + SILENCE;
            waited += !a.waiting && out > Math.max(SILENCE, usual) ? 1 : 0;
            if (noNote || late && waited > 1 && (notes == 0 || silent > notes)) {
                suspect(e, "is silent");
                return;
            }
        }
    }

    /** Danger: a request that every engine answers with an error would make all of them look bad. */
    private void blame(Request r, Engine e) {
        r.errors++;
        if (r.errors == 1) {
            r.erred = e;
            e.faults.add(now, 1);
            bad(e, "answers with errors");
        } else if (r.errors == 2) {
            r.erred.faults.add(now, -1);
            r.erred.suspected &= r.erred.badInARow == 0 || r.erred.badInARow-- != BAD_IN_A_ROW;
        }
    }

    private void bad(Engine e, String what) {
        e.badInARow++;
        if (e.badInARow >= BAD_IN_A_ROW) {
            suspect(e, what);
        }
    }

    private void suspect(Engine e, String what) {
        e.nextTrial = now + TRIAL_EVERY;
        if (!e.suspected) {
            e.suspected = true;
            log("engine " + Long.toHexString(e.id) + " suspected: " + what);
        }
    }

    private void log(String text) {
        if (now - lastLog >= 1000) {
            lastLog = now;
            out.add(new Log(text));
        }
    }

    // ---- state

    /** One request that this front has taken. */
    private final class Request extends RequestState<Try, Engine> {
        final Learner c;
        final double aimAt, unit;

        Request(Arrival e, Learner c, double now) {
            super(e, now);
            this.c = c;
            double told = Math.exp(c.workOff.value());
            unit = Math.max(1, cost > 0 ? cost * told / c.spec.threads() : c.spec.aim() * RAW_UNIT);
            double work = cost > 0 ? unit : unit * c.typical();
            aimAt = Math.min(deadline, now + c.spec.aim() + c.spec.aimStretch() * work);
        }

        double expected() {
            return unit * c.typical();
        }

        double work() {
            return (cost > 0 ? unit : expected()) * c.spec.threads();
        }

        double grant(Engine e) {
            double want = need * Math.exp(c.memoryOff.value()) * (set.limits().grants() ? c.grantFactor : GRANT_START);
            return e.memory > 0 ? Math.min(want, e.memory * set.limits().mostGrant()) : want;
        }
    }

    private static final class Try extends Attempt<Request, Engine> {
        Try(Request r, Engine e, int leg, double now) {
            super(r, e, leg, now);
        }
    }

    /** What this front knows of one engine. */
    private final class Engine extends EngineState<Try> {
        final Fading slowness = new Fading(SPEED_HALF_LIFE), faults = new Fading(FAULTS_HALF_LIFE);

        Engine(long id) {
            super(id, set.rules().fallMs());
        }

        void report(double[] figures) {
            if (figures.length < set.report().size()) {
                return;
            }
            view = figures;
            viewAt = now;
            sentSince = 0;
            bar = BAR_LOW + 2 * (1 - BAR_LOW) * random.nextDouble();
            crowding += 0.05 * (load() / cores - crowding);
        }

        boolean seen() {
            return inHand >= 0 && now - viewAt < VIEW_FOR;
        }

        /** Threads there, by its last report and what went there from here since. */
        double load() {
            return Math.max(threads, view[inHand] * perQuery + sentSince);
        }

        double startTold() {
            return Math.max(upSince, backAt);
        }

        /** Danger: an engine that broke off or refused may be back, cold, long before the list tells. */
        double coldFrom() {
            return Math.max(startTold(), downAt);
        }

        boolean cold() {
            return coldFrom() > 0 && now - coldFrom() < set.rules().coldMs();
        }

        /** How much slower than usual it lately was; a few doubtful outcomes do not count for much. */
        double slow() {
            return Math.exp(slowness.mean(now, DOUBT_ONE, 0));
        }

        /** Speed against the fleet; a cold engine counts as what it is known to do at least. */
        double speed() {
            return Math.max(0.1, Math.min(1.3, fleetSlow / slow()) * (1 - faults.mean(now, DOUBT_ONE, 0))) * warm(0);
        }

        /**
         * Part of its capacity that the cold rule may count on. It warms by time, but only from a start that
         * was told: one that broke off may be back at any time since.
         */
        double sureOf() {
            double least = set.rules().coldShare();
            return downAt > startTold()
                    ? least
                    : least + WARMS * (warm(set.rules().fallMs()) - least);
        }

        /** Part of its capacity that it had so long ago. */
        double warm(double ago) {
            double age = Math.max(0, now - ago - coldFrom()) / set.rules().coldMs();
            return cold() ? set.rules().coldShare() + (1 - set.rules().coldShare()) * age : 1;
        }
    }

    /** What is learned of one class: the survival curve of first runs, tau, reruns, memory needed. */
    private final class Learner {
        final RequestClass spec;
        final Survival first = new Survival(BINS, LOWEST, PER_DOUBLING);
        final Fading reruns = new Fading(HALF_LIFE), works = new Fading(HALF_LIFE);
        /** How much slower than usual its last runs were, those still out included. */
        final Recent recent = new Recent(RECENT);

        boolean shut;
        double slow = 1, seen, tau = Double.POSITIVE_INFINITY, mean;
        double workTaken, workShare, openCores, grantFactor = GRANT_START, decayedAt;
        double taken, askedShare, sentAt = Double.NEGATIVE_INFINITY;
        final Level usual = new Level(STRAGGLES, USUAL_MOVES);
        /** How far what answers tell lies off the estimates. Danger: these may lie by class, and aims too. */
        final Level workOff = new Level(STRAGGLES, USUAL_MOVES);

        final Level memoryOff = new Level(STRAGGLES, USUAL_MOVES);

        Learner(RequestClass spec) {
            this.spec = spec;
        }

        /** The usual first-run time by unit of estimate. */
        double typical() {
            return Math.exp(usual.count() >= RERUNS_ENOUGH ? usual.value() : all.usual.value());
        }

        /** Mean work, as the cold rule weighs a query. Danger: a median may be half of it. */
        double usualWork() {
            return works.mean(now, GUESS_WEIGHT, spec.deadline() * FIRST_GUESS * spec.threads());
        }

        double rerunRatio() {
            return reruns.count(now) >= RERUNS_ENOUGH ? reruns.mean(now, 0, 0) : seen >= ENOUGH ? mean : typical();
        }

        void ran(double ratio, boolean finished) {
            first.add(ratio, finished);
            seen += finished ? 1 : 0;
        }

        void needed(double ratio) {
            grantFactor *= ratio > grantFactor ? 1 + 0.03 * GRANT_QUANTILE : 1 - 0.03 * (1 - GRANT_QUANTILE);
        }

        void spilled() {
            grantFactor = Math.min(3, grantFactor * 1.02);
        }

        /** The paper's rule: the tau with the least load, or none where nothing beats never cutting. */
        void reckon(List<Double> stillOut) {
            double keep = Math.pow(0.5, (now - decayedAt) / HALF_LIFE);
            decayedAt = now;
            first.decay(keep);
            seen *= keep;
            workTaken *= keep;
            taken *= keep;
            // Danger: of a class that crowding holds up, answers come from the few that it spares.
            slow = Math.max(
                    1,
                    Math.exp(recent.middle(
                            now,
                            DOUBT,
                            stillOut.stream()
                                    .map(x -> Math.min(STRAGGLES, Math.log(x / typical())))
                                    .filter(x -> x > 0)
                                    .toList())));
            mean = first.reckon(stillOut.stream().map(x -> x / slow).toList());
            tau = Double.POSITIVE_INFINITY;
            double least = mean * (1 - GAIN);
            for (int i = 0; i < first.bins() && usual.count() >= RERUNS_ENOUGH; i++) {
                double load = first.areaUpTo(i) + rerunRatio() * first.survivalPast(i);
                if (load < least && first.survivalPast(i) > 0) {
                    least = load;
                    tau = first.edge(i);
                }
            }
            // Danger: a rare class has no curve of its own for long; few outcomes move tau within bounds.
            if (seen < ENOUGH && usual.count() >= RERUNS_ENOUGH) {
                tau = typical() * Math.exp(Math.max(STRAGGLES / 2, Math.min(STRAGGLES, Math.log(tau / typical()))));
            }
        }
    }
}
