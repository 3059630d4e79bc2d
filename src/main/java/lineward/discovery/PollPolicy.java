package lineward.discovery;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides how the journal service is followed: when to connect, to poll, to close a connection, to read the
 * file that names the service, and to warn of silence. Free of I/O; times are milliseconds of one monotonic
 * clock. Each event returns the steps that are due now, in order; {@link #tick} is to be called every few
 * milliseconds.
 *
 * <p>A service may refuse connections, accept them and stay silent, close at once, answer byte by byte or
 * late, and the file may be half written when it is read. None of these may keep the program from news for
 * long once there is something to receive: every wait has a limit, and any lasting fault makes the file be
 * read again. The alternatives are weighed in {@code docs/journal.md}.
 */
final class PollPolicy {
    /**
     * How long a poll asks the service to wait for an event. The journal counts its events as delivered at
     * once: keep it short.
     */
    static final int LONG_POLL_TIMEOUT_MS = 1000;
    /** Pause after a failure, and before the next poll of a service that answers at once with nothing new. */
    static final double PAUSE_MS = 100;
    /** Connections at once: overdue ones stay open, as a slow service may still answer on them. */
    static final int MAX_CONNECTIONS = 3;
    /** Silence beyond which a warning is logged. */
    static final double SILENCE_MS = 2000;
    /** Interval of these warnings. */
    static final double WARNING_INTERVAL_MS = 1000;
    /** An empty response that comes sooner than this was not waited for: the service does not hold polls. */
    private static final double EARLY_RESPONSE_MS = LONG_POLL_TIMEOUT_MS / 2.0;

    private static final double NEVER = Double.POSITIVE_INFINITY;

    /** In the order of their opening: the newest is last. */
    private final List<PollConnection> connections = new ArrayList<>(MAX_CONNECTIONS);

    private final FileReadSchedule fileReads = new FileReadSchedule();
    private String address;
    private int lastNumber;
    private double connectNotBeforeMs;
    private double lastResponseAtMs;
    /** When the present row of faults began; {@link #NEVER} for a healthy service. */
    private double failingSinceMs = NEVER;

    private PollFault lastFault = PollFault.NO_RESPONSE;
    private double nextWarningAtMs;

    /** Creates the policy for a service at that address, which is connected to at the first tick. */
    PollPolicy(String address, double nowMs) {
        this.address = address;
        connectNotBeforeMs = nowMs;
        lastResponseAtMs = nowMs;
    }

    /** Returns the time since the last usable response, or since the start if none has come. */
    double silentMs(double nowMs) {
        return nowMs - lastResponseAtMs;
    }

    /** Returns the service's address as last read. */
    String address() {
        return address;
    }

    /** Returns the steps that have become due. */
    List<PollStep> tick(double nowMs) {
        List<PollStep> steps = new ArrayList<>(2);
        for (PollConnection connection : connections) {
            if (connection.isResumeDue(nowMs)) {
                poll(connection, nowMs, steps);
            }
        }
        connectIfNeeded(nowMs, steps);
        if (fileReads.isReadDue(nowMs, failingSinceMs)) {
            fileReads.beginRead();
            steps.add(new PollStep.ReadFile());
        }
        if (silentMs(nowMs) > SILENCE_MS && nowMs >= nextWarningAtMs) {
            nextWarningAtMs = nowMs + WARNING_INTERVAL_MS;
            steps.add(new PollStep.WarnOfSilence(address, silentMs(nowMs), lastFault));
        }
        return steps;
    }

    /** A connection is open. */
    List<PollStep> connected(int number, double nowMs) {
        List<PollStep> steps = new ArrayList<>(1);
        PollConnection connection = find(number);
        if (connection == null) {
            steps.add(new PollStep.Close(number));
        } else {
            poll(connection, nowMs, steps);
        }
        return steps;
    }

    /** Returns whether the policy still has that connection; responses on any other are to be ignored. */
    boolean isOpen(int number) {
        return find(number) != null;
    }

    /** A complete, usable response came; it makes all other connections superfluous. */
    List<PollStep> responded(int number, PollResponse response, double nowMs) {
        List<PollStep> steps = new ArrayList<>(2);
        PollConnection connection = find(number);
        if (connection == null) {
            return steps;
        }
        lastResponseAtMs = nowMs;
        failingSinceMs = NEVER;
        nextWarningAtMs = nowMs;
        closeAllBut(connection, steps);
        if (response.closesConnection()) {
            steps.add(new PollStep.Close(number));
            remove(connection, nowMs);
        } else if (!response.changed() && nowMs - connection.waitingSinceMs() < EARLY_RESPONSE_MS) {
            // Danger: a service that answers at once with nothing new would be polled without a pause.
            connection.pause(nowMs + PAUSE_MS);
        } else {
            poll(connection, nowMs, steps);
        }
        return steps;
    }

    /** A connection has ended, could not be opened, or brought an unusable response and was closed for it. */
    void failed(int number, PollFault fault, double nowMs) {
        PollConnection connection = find(number);
        if (connection != null) {
            remove(connection, nowMs);
            recordFault(fault, nowMs);
        }
    }

    /** SIGHUP: the file has been replaced and is to be read. */
    void reloadAddress(double nowMs) {
        fileReads.requestReload(nowMs);
    }

    /** The file is complete and names that address. */
    List<PollStep> fileRead(String addressRead, double nowMs) {
        List<PollStep> steps = new ArrayList<>(MAX_CONNECTIONS);
        fileReads.readSucceeded(nowMs, isFailing());
        if (!addressRead.equals(address)) {
            address = addressRead;
            connections.forEach(connection -> steps.add(new PollStep.Close(connection.number())));
            connections.clear();
            connectNotBeforeMs = nowMs;
            failingSinceMs = NEVER;
            steps.addAll(tick(nowMs));
        }
        return steps;
    }

    /** The file is missing, cut or not valid: the address stays. */
    void fileUnreadable(double nowMs) {
        fileReads.readFailed(nowMs, isFailing());
    }

    private void connectIfNeeded(double nowMs, List<PollStep> steps) {
        boolean overdue = !connections.isEmpty() && newest().isOverdue(nowMs);
        if (overdue) {
            recordFault(PollFault.NO_RESPONSE, nowMs);
        }
        if ((connections.isEmpty() || overdue) && nowMs >= connectNotBeforeMs) {
            connect(nowMs, steps);
        }
    }

    private void connect(double nowMs, List<PollStep> steps) {
        if (connections.size() == MAX_CONNECTIONS) {
            steps.add(new PollStep.Close(connections.remove(0).number()));
        }
        lastNumber++;
        connections.add(new PollConnection(lastNumber, nowMs));
        steps.add(new PollStep.Connect(lastNumber, address));
    }

    private static void poll(PollConnection connection, double nowMs, List<PollStep> steps) {
        connection.poll(nowMs);
        steps.add(new PollStep.SendPoll(connection.number()));
    }

    private void closeAllBut(PollConnection kept, List<PollStep> steps) {
        for (PollConnection connection : connections) {
            if (connection != kept) {
                steps.add(new PollStep.Close(connection.number()));
            }
        }
        connections.removeIf(connection -> connection != kept);
    }

    private void remove(PollConnection connection, double nowMs) {
        connections.remove(connection);
        connectNotBeforeMs = nowMs + PAUSE_MS;
    }

    private void recordFault(PollFault fault, double nowMs) {
        lastFault = fault;
        if (!isFailing()) {
            failingSinceMs = nowMs;
        }
    }

    private boolean isFailing() {
        return failingSinceMs < NEVER;
    }

    private PollConnection newest() {
        return connections.get(connections.size() - 1);
    }

    private PollConnection find(int number) {
        for (PollConnection connection : connections) {
            if (connection.number() == number) {
                return connection;
            }
        }
        return null;
    }
}
