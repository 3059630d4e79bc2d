package lineward.discovery;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides how the journal is followed: when to connect, to ask, to give a connection up, to look at the file
 * that names the service, and to say that nothing is heard. Free of I/O; times are milliseconds of one
 * monotonic clock. Each event returns the steps that are due now, in order; {@link #tick} is to be called
 * every few milliseconds.
 *
 * <p>A service may refuse, accept and stay silent, close at once, answer by drops or late, and the file may
 * be half written when it is read. None of these may leave the program deaf for long once there is something
 * to hear: every wait has an end, and whatever goes wrong for a while makes the file be looked at again. The
 * ways weighed are in {@code docs/journal.md}.
 */
final class PollPolicy {
    /** Longest wait that a poll asks for. What the journal holds counts as told at once: keep it short. */
    static final int MAX_WAIT_MS = 1000;
    /** A whole answer is due by then; a drop now and then does not make a connection a good one. */
    static final double DUE_MS = MAX_WAIT_MS + 700;
    /** A connection that is not up by then is overdue: the caller's own limit on connecting is below. */
    static final double CONNECT_DUE_MS = 600;
    /** Pause after a failure, and before a service that answers at once with nothing new is asked again. */
    static final double PAUSE_MS = 100;
    /** Connections at once: the overdue ones stay, as a slow service may answer them yet. */
    static final int MOST_CALLS = 3;
    /** So long trouble lasts before the file is looked at, and as often it is looked at from then on. */
    static final double LOOK_MS = 250;
    /** After SIGHUP a file that can't be read is read again as often, for so long; then as trouble has it. */
    static final double READ_AGAIN_MS = 50;

    static final double EAGER_MS = 4000;
    static final double SELDOM_MS = 1000;
    /** Silence from which on a line is logged, and the pause between two such lines. */
    static final double SILENCE_MS = 2000;

    static final double COMPLAIN_MS = 1000;

    /** What the caller is to do. */
    sealed interface Step {}

    /** Open a connection; it is known by that number from now on. */
    record Connect(int call, String address) implements Step {}

    /** Send a poll on a connection. */
    record Ask(int call) implements Step {}

    /** Close a connection and forget it. */
    record Drop(int call) implements Step {}

    /** Read the file and report {@link #fileRead} or {@link #fileUnreadable}; never two looks at once. */
    record Look() implements Step {}

    /** Tell people that nothing has been heard for so long, and what went wrong last. */
    record Complain(String address, double silentMs, String trouble) implements Step {}

    private static final class Call {
        final int number;
        /** Since when the present wait, for the connection or for an answer, lasts. */
        double since;

        boolean up;
        /** When to ask next; not a number while an answer is awaited. */
        double askAt = Double.NaN;

        Call(int number, double since) {
            this.number = number;
            this.since = since;
        }

        boolean isOverdue(double now) {
            return Double.isNaN(askAt) && now - since > (up ? DUE_MS : CONNECT_DUE_MS);
        }
    }

    private final List<Call> calls = new ArrayList<>(MOST_CALLS);
    private String address;
    private int lastCall;
    private double connectAt;
    private double heardAt;
    private double troubledSince = Double.NaN;
    private String trouble = "no answer";
    private double complainAt;
    private boolean looking;
    private boolean lookAgain;
    private double lookAt = Double.POSITIVE_INFINITY;
    /** Since when a file that SIGHUP asked for has not been read; not a number: none is awaited. */
    private double awaitedSince = Double.NaN;

    /** @param address of the service that is known at the start */
    PollPolicy(String address, double now) {
        this.address = address;
        connectAt = now;
        heardAt = now;
    }

    /** Returns how long ago the last usable answer came, or the start if none has. */
    double age(double now) {
        return now - heardAt;
    }

    /** Returns where the service is taken to be. */
    String address() {
        return address;
    }

    /** Moves whatever is due. */
    List<Step> tick(double now) {
        List<Step> steps = new ArrayList<>(2);
        for (Call call : calls) {
            if (call.askAt <= now) {
                ask(call, now, steps);
            }
        }
        boolean overdue = !calls.isEmpty() && newest().isOverdue(now);
        if (overdue) {
            troubled(now, "no answer");
        }
        if ((calls.isEmpty() || overdue) && now >= connectAt) {
            connect(now, steps);
        }
        if (!looking && now >= Math.min(lookAt, lookInTrouble())) {
            looking = true;
            lookAt = Double.POSITIVE_INFINITY;
            steps.add(new Look());
        }
        if (age(now) > SILENCE_MS && now >= complainAt) {
            complainAt = now + COMPLAIN_MS;
            steps.add(new Complain(address, age(now), trouble));
        }
        return steps;
    }

    /** A connection is up. */
    List<Step> connected(int number, double now) {
        List<Step> steps = new ArrayList<>(1);
        Call call = find(number);
        if (call == null) {
            steps.add(new Drop(number));
        } else {
            call.up = true;
            ask(call, now, steps);
        }
        return steps;
    }

    /** Returns whether that connection still counts; what another one says is to be passed over. */
    boolean counts(int number) {
        return find(number) != null;
    }

    /**
     * A whole, usable answer came on a connection that counts. All others have been overtaken by it.
     *
     * @param news whether it told something new
     */
    List<Step> answered(int number, boolean news, double now) {
        List<Step> steps = new ArrayList<>(2);
        Call call = find(number);
        if (call == null) {
            return steps;
        }
        heardAt = now;
        troubledSince = Double.NaN;
        complainAt = now;
        calls.removeIf(other -> {
            if (other != call) {
                steps.add(new Drop(other.number));
            }
            return other != call;
        });
        // Danger: a service that answers at once with nothing new would have us ask without a pause.
        if (!news && now - call.since < MAX_WAIT_MS / 2.0) {
            call.askAt = now + PAUSE_MS;
        } else {
            ask(call, now, steps);
        }
        return steps;
    }

    /** A connection has ended, or did not come up, or told what can't be used and was closed for it. */
    void ended(int number, String why, double now) {
        Call call = find(number);
        if (call != null) {
            finished(number, now);
            troubled(now, why);
        }
    }

    /** A connection has been closed in order behind an answer. */
    void finished(int number, double now) {
        calls.removeIf(call -> call.number == number);
        connectAt = now + PAUSE_MS;
    }

    /** SIGHUP: the file has been replaced and is to be read. */
    void reloadAddress(double now) {
        awaitedSince = now;
        lookAt = now;
        lookAgain = looking;
    }

    /** The file is whole and names that address. */
    List<Step> fileRead(String named, double now) {
        List<Step> steps = new ArrayList<>(MOST_CALLS);
        looked(now);
        if (!lookAgain) {
            awaitedSince = Double.NaN;
        }
        lookAgain = false;
        if (!named.equals(address)) {
            address = named;
            calls.forEach(call -> steps.add(new Drop(call.number)));
            calls.clear();
            connectAt = now;
            troubledSince = Double.NaN;
            steps.addAll(tick(now));
        }
        return steps;
    }

    /** The file is not there, cut short or otherwise of no use: what is known stays. */
    void fileUnreadable(double now) {
        looked(now);
        lookAgain = false;
        if (!Double.isNaN(awaitedSince)) {
            lookAt = Math.min(lookAt, now + (now - awaitedSince < EAGER_MS ? READ_AGAIN_MS : SELDOM_MS));
        }
    }

    private void looked(double now) {
        looking = false;
        lookAt = lookAgain ? now : Double.POSITIVE_INFINITY;
        if (!Double.isNaN(troubledSince)) {
            lookAt = Math.min(lookAt, now + LOOK_MS);
        }
    }

    /** The first look that trouble asks for; those after it follow from {@link #looked}. */
    private double lookInTrouble() {
        return Double.isNaN(troubledSince) || lookAt < Double.POSITIVE_INFINITY
                ? Double.POSITIVE_INFINITY
                : troubledSince + LOOK_MS;
    }

    private void troubled(double now, String why) {
        trouble = why;
        if (Double.isNaN(troubledSince)) {
            troubledSince = now;
        }
    }

    private void connect(double now, List<Step> steps) {
        if (calls.size() == MOST_CALLS) {
            steps.add(new Drop(calls.remove(0).number));
        }
        Call call = new Call(++lastCall, now);
        calls.add(call);
        steps.add(new Connect(call.number, address));
    }

    private static void ask(Call call, double now, List<Step> steps) {
        call.since = now;
        call.askAt = Double.NaN;
        steps.add(new Ask(call.number));
    }

    private Call newest() {
        return calls.get(calls.size() - 1);
    }

    private Call find(int number) {
        return calls.stream().filter(c -> c.number == number).findFirst().orElse(null);
    }
}
