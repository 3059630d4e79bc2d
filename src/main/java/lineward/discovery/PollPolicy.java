package lineward.discovery;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides how service discovery is polled: when to connect, to poll, to close a connection, to read the file
 * with the service's address, and to warn of silence. Does no I/O; times are milliseconds of one monotonic
 * clock. {@link DiscoveryClient} calls it on the event loop, {@link #tick} every few milliseconds; each
 * method returns the steps that are due, in order.
 *
 * <p>A service may refuse connections, accept them and stay silent, close them at once, or answer slowly, and
 * the file may be incomplete when it is read. No such fault may delay an event for long: every wait has a
 * limit, and a lasting fault causes another read of the file. {@code docs/service-discovery.md} compares the
 * alternatives.
 */
final class PollPolicy {
    /**
     * Time for which the service holds a poll without an event. Short, because the service
     * counts its events as delivered at once.
     */
    static final int LONG_POLL_TIMEOUT_MS = 1000;
    /** Pause after a failure, and before the next poll after an early empty response. */
    static final double PAUSE_MS = 100;
    /** Limit on connections; overdue ones stay open because a slow service may still answer on them. */
    static final int MAX_CONNECTIONS = 3;
    /** Time without a usable response after which a warning is logged. */
    static final double SILENCE_MS = 2000;
    /** Interval of these warnings. */
    static final double WARNING_INTERVAL_MS = 1000;
    /** An empty response is early before this time: the service does not hold polls. */
    private static final double EARLY_RESPONSE_MS = LONG_POLL_TIMEOUT_MS / 2.0;

    /** A time that does not come. */
    static final double NEVER = Double.POSITIVE_INFINITY;

    /** In the order in which they were opened: the newest is last. */
    private final List<PollConnection> connections = new ArrayList<>(MAX_CONNECTIONS);

    private final FileReadSchedule fileReads = new FileReadSchedule();
    private String address;
    private int lastNumber;
    private double connectNotBeforeMs;
    private double lastResponseAtMs;
    /** Time of the first fault since the last response; {@link #NEVER} for a healthy service. */
    private double failingSinceMs = NEVER;

    private PollFault lastFault = PollFault.NO_RESPONSE;
    private double nextWarningAtMs;

    /** Creates the policy for a service at this address; the first tick connects to it. */
    PollPolicy(String address, double nowMs) {
        this.address = address;
        connectNotBeforeMs = nowMs;
        lastResponseAtMs = nowMs;
    }

    /** Returns the time since the last usable response, or since the start if there was none. */
    double silentMs(double nowMs) {
        return nowMs - lastResponseAtMs;
    }

    /** Returns the address of the service as last read. */
    String address() {
        return address;
    }

    /** Returns the steps that are due. */
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

    /** Returns whether the connection is in use; the caller ignores responses on any other. */
    boolean isOpen(int number) {
        return find(number) != null;
    }

    /** A complete, usable response has come; all other connections are closed. */
    List<PollStep> responded(int number, PollResponse response, double nowMs) {
        List<PollStep> steps = new ArrayList<>(2);
        PollConnection connection = find(number);
        if (connection == null) {
            return steps;
        }
        lastResponseAtMs = nowMs;
        failingSinceMs = NEVER;
        nextWarningAtMs = nowMs;
        closeAllExcept(connection, steps);
        if (response.closesConnection()) {
            steps.add(new PollStep.Close(number));
            remove(connection, nowMs);
        } else if (!response.changed() && nowMs - connection.waitingSinceMs() < EARLY_RESPONSE_MS) {
            // Pauses after an early empty response, to avoid a busy loop.
            connection.pause(nowMs + PAUSE_MS);
        } else {
            poll(connection, nowMs, steps);
        }
        return steps;
    }

    /** A connection has ended, could not be opened, or was closed after an unusable response. */
    void failed(int number, PollFault fault, double nowMs) {
        PollConnection connection = find(number);
        if (connection != null) {
            remove(connection, nowMs);
            recordFault(fault, nowMs);
        }
    }

    /** SIGHUP: the file has been replaced and has to be read. */
    void reloadAddress(double nowMs) {
        fileReads.requestReload(nowMs);
    }

    /** The file has been read and contains this address. */
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

    /** The file is missing, truncated or not valid: the address does not change. */
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

    private void closeAllExcept(PollConnection retained, List<PollStep> steps) {
        for (PollConnection connection : connections) {
            if (connection != retained) {
                steps.add(new PollStep.Close(connection.number()));
            }
        }
        connections.removeIf(connection -> connection != retained);
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
