package peatwick;

import java.util.List;

/**
 * The interface of the decision module: the settings a front hands over at its start, the events it reports
 * and the actions it is asked to carry out. Times are milliseconds, memory is megabytes, engines and requests
 * are named by opaque numbers. Nothing here decides anything.
 */
public interface Front {

    /**
     * Decides on what has just happened.
     *
     * @param now the clock, which never goes back
     * @param events what has happened since the last call, in the order of arrival
     * @return what to do now, in order
     */
    List<Action> decide(double now, List<? extends Event> events);

    /** @return engines on the list that get nothing now, by order or by choice */
    int avoided();

    /** Whether a request may run more than once: always, by key within a group of engines, or never. */
    enum Effect {
        SAFE,
        KEYED,
        UNSAFE
    }

    /** Which engines drop the repeats of a keyed request: all, those of its zone, or those of its cell. */
    enum Scope {
        ALL,
        ZONE,
        CELL
    }

    /** What becomes of a query whose grant does not fit: it waits, gets less, or all engines' work slows. */
    enum WhenShort {
        WAIT,
        SHRINK,
        PAGE
    }

    /** State of an engine in the list. */
    enum Condition {
        READY,
        DRAINING,
        GONE
    }

    /** How an attempt or a probe ended. */
    enum Outcome {
        OK(true),
        ERROR(true),
        FULL(false),
        TIMEOUT(true),
        CONNECT_FAILED(false),
        RESET(true),
        CANCELLED(true),
        MOOT(false);

        /** False where the outcome proves that the attempt never ran. */
        public final boolean mayHaveRun;

        Outcome(boolean mayHaveRun) {
            this.mayHaveRun = mayHaveRun;
        }
    }

    /** What a note on a running attempt says. */
    enum NoteKind {
        PROGRESS,
        SPILLS,
        WAITS_FOR_MEMORY,
        WAITS_FOR_LOAD
    }

    /** What a value in a load report stands for. */
    enum ReportField {
        IN_HAND,
        WAITING,
        UTILISATION,
        LATENCY,
        THROUGHPUT,
        ERRORS,
        MEMORY,
        DISKS,
        OTHER
    }

    /** One class of requests. Null lists of kinds or zones bind nothing. */
    record RequestClass(
            double aim,
            double aimStretch,
            double deadline,
            double worth,
            double lateShare,
            Effect effect,
            Scope scope,
            double keyTtl,
            boolean inOrder,
            List<Integer> onlyKinds,
            List<Integer> onlyZones,
            boolean load,
            boolean waitsForLoads,
            int threads) {
        public RequestClass {
            require(aim >= 0 && deadline > 0 && aimStretch >= 0, "classes: aim, aim stretch, deadline");
            require(worth >= 0 && lateShare >= 0 && lateShare <= 1, "classes: worth, late share");
            require(keyTtl >= 0, "classes: key time");
            require(threads >= 1, "classes: threads");
            require(effect != null && scope != null, "classes: effect, scope");
        }
    }

    /** A machine kind; a memory of 0 is unknown. */
    record Kind(int cores, double memoryMb) {
        public Kind {
            require(cores >= 1, "kinds: cores");
            require(memoryMb >= 0, "kinds: memory");
        }
    }

    /** What the site permits. */
    record Limits(
            boolean cancel,
            boolean probes,
            boolean secondCopies,
            boolean retryAfter,
            double maxRetryAfter,
            int maxAttempts,
            boolean grants,
            boolean priorities,
            double mostGrant,
            WhenShort whenShort,
            double notesEvery,
            boolean peers) {
        public Limits {
            require(maxAttempts >= 1, "limits: attempts");
            require(maxRetryAfter >= 0 && notesEvery >= 0, "limits: times");
            require(mostGrant > 0 && mostGrant <= 1, "limits: most grant");
        }
    }

    /** Figures of the rules. An extraWindow of 0 means that no budget of further attempts is set. */
    record Rules(
            double drainGrace,
            double coldMs,
            double coldShare,
            double overloadFactor,
            double fallMs,
            double settleMs,
            double extraWindow,
            double extraFree,
            double extraPerRequest) {
        public Rules {
            require(drainGrace >= 0 && coldMs >= 0 && fallMs >= 0 && settleMs >= 0, "rules: times");
            require(coldShare >= 0 && coldShare <= 1 && overloadFactor >= 0, "rules: cold share, factor");
            require(extraWindow >= 0 && extraFree >= 0 && extraPerRequest >= 0, "rules: attempt budget");
        }
    }

    /** Points of the result for a probe a request, and for 256 bytes delivered to a peer a request. */
    record Prices(double probe, double peer) {
        public Prices {
            require(probe >= 0 && peer >= 0, "prices: probe, peer");
        }
    }

    /** A tenant: the requests a second, over all fronts, that lie within its share. */
    record Tenant(double quota) {
        public Tenant {
            require(quota >= 0, "tenants: quota");
        }
    }

    /** All that a front is told at its start. askForList: the list comes only to those that ask for it. */
    record Settings(
            List<RequestClass> classes,
            List<Kind> kinds,
            int zones,
            int zone,
            int fronts,
            int ordinal,
            Limits limits,
            Rules rules,
            List<ReportField> report,
            boolean reportInAnswers,
            boolean askForList,
            double askWithin,
            boolean weightsTell,
            Prices prices,
            List<Tenant> tenants,
            double overShareWorth) {
        public Settings {
            require(!classes.isEmpty(), "classes: none");
            require(!kinds.isEmpty(), "kinds: none");
            require(fronts >= 1, "fronts");
            for (RequestClass c : classes) {
                require(within(c.onlyKinds(), kinds.size()), "classes: bound to an unknown kind");
                require(within(c.onlyZones(), zones), "classes: bound to an unknown zone");
            }
            classes = List.copyOf(classes);
            kinds = List.copyOf(kinds);
            report = List.copyOf(report);
            tenants = List.copyOf(tenants);
            require(overShareWorth >= 0 && overShareWorth <= 1, "over-share worth");
        }

        private static boolean within(List<Integer> places, int size) {
            return places == null || places.stream().allMatch(p -> p >= 0 && p < size);
        }
    }

    /** An engine as the list has it; upSince 0 is long ago. */
    record Listed(long engine, int kind, double weight, double upSince, Condition condition, int zone, int cell) {}

    /** What happened. */
    sealed interface Event
            permits ListChange,
                    ListFailed,
                    HeldOut,
                    Part,
                    Arrival,
                    Opened,
                    Note,
                    Verdict,
                    Aborted,
                    Probed,
                    Wake,
                    PeerSays {}

    /** The list of engines: whole (what is missing is gone) or only the entries that changed. */
    record ListChange(boolean whole, List<Listed> engines) implements Event {}

    /** A call to the list failed; the old list stays. */
    record ListFailed() implements Event {}

    /**
     * By order, an engine gets nothing from now on, whatever the list says, or is used again; at tells when
     * that was said. It may be an engine that the list has not, or no longer.
     */
    record HeldOut(long engine, boolean out, double at) implements Event {}

    /**
     * The part of this front's work that falls to this process: 1 alone, half while another serves beside it
     * at an upgrade.
     */
    record Part(double part) implements Event {}

    /** A request was taken. Key 0 is none, a cost or memory of 0 is not known. */
    record Arrival(
            long request,
            int type,
            long key,
            double timeLeft,
            double cost,
            double memoryMb,
            int group,
            boolean repeat,
            int customer)
            implements Event {}

    /** The answer of an attempt has started; it belongs to the client from now on. */
    record Opened(long request, int attempt) implements Event {}

    /** Word on an attempt that is out; amount is the share done or the megabytes missing. */
    record Note(long request, int attempt, NoteKind kind, double amount) implements Event {}

    /** How an attempt ended. ended: the request is over. Work and memory needed are 0 where not told. */
    record Verdict(
            long request, int attempt, Outcome outcome, boolean ended, double work, double memoryMb, double[] report)
            implements Event {}

    /** The client has gone; nothing is owed any more. */
    record Aborted(long request) implements Event {}

    /** What a probe brought back. An empty report came with nothing. */
    record Probed(long engine, Outcome outcome, double latency, double[] report) implements Event {}

    /** A timer is due. */
    record Wake(int token) implements Event {}

    /** Word from another front; it may be lost, late or from a front that is no more. */
    record PeerSays(int from, byte[] octets) implements Event {}

    /** What to do. */
    sealed interface Action permits Send, Cancel, Refuse, Fail, SetLimits, Probe, Announce, After, Subscribe, Log {}

    /**
     * Starts an attempt; the host numbers the attempts of a request 0, 1, 2 in the order of their sends.
     *
     * @param beginWithin behind that it must not go out any more: its repeat would be an effect twice
     */
    record Send(long request, long engine, double maxWait, double beginWithin) implements Action {
        /** One that may go out at any time. */
        public Send(long request, long engine, double maxWait) {
            this(request, engine, maxWait, Double.POSITIVE_INFINITY);
        }
    }

    /** Stops an attempt. */
    record Cancel(long request, int attempt) implements Action {}

    /** Final answer: turned away, harmless to try again; retryAfter 0 gives no advice. */
    record Refuse(long request, double retryAfter) implements Action {}

    /** Final answer: failed, with no promise. */
    record Fail(long request) implements Action {}

    /** Memory (0: the engine's choice) and priority of the request's further sends. */
    record SetLimits(long request, double grantMb, int priority) implements Action {}

    /** Sends bytes to every other front; they may be lost. */
    record Announce(byte[] octets) implements Action {}

    /** Asks an engine how it is. */
    record Probe(long engine) implements Action {}

    /** Asks for a wake event with this token. */
    record After(double delay, int token) implements Action {}

    /** Asks for changes of the list from now on. */
    record Subscribe() implements Action {}

    /** One line for those on call. */
    record Log(String text) implements Action {}

    private static void require(boolean holds, String setting) {
        if (!holds) {
            throw new IllegalArgumentException("bad setting: " + setting);
        }
    }
}
