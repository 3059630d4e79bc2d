package lineward.discovery;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides how service discovery is polled: when to connect, to poll, to close a connection, to read the file
 * with the service's address, and to warn that the service does not respond. Does no I/O; times are in
 * milliseconds of one monotonic clock. {@link DiscoveryClient} calls it on the event loop, {@link #tick}
 * every few milliseconds. A returned list contains the steps that are due, in order.
 *
 * <p>A service may refuse connections, accept them without responding, close them at once, or respond slowly,
 * and the file may be incomplete when it is read. To bound the delay of an event under such faults, every
 * wait has a limit, and the file is read again while a fault lasts. {@code docs/service-discovery.md}
 * compares the alternatives.
 */
final class PollPolicy {
    /**
     * Time for which the service holds a poll without an event. Kept short because the service counts an
     * event as delivered once it is published, even if a front end has not received it.
     */
    static final int LONG_POLL_TIMEOUT_MS = 1000;
    /** Delay of a connect after a connection has ended, and of a poll after an early empty response. */
    static final double PAUSE_MS = 100;
    /** Time without a valid response after which a warning is logged. */
    static final double WARNING_DELAY_MS = 2000;
    /** Interval between these warnings. */
    static final double WARNING_INTERVAL_MS = 1000;
    /** An empty response sooner than this after its poll is early: the service does not hold polls. */
    private static final double EARLY_RESPONSE_MS = LONG_POLL_TIMEOUT_MS / 2.0;

    /** A time that is never reached. */
    static final double NEVER = Double.POSITIVE_INFINITY;

    private final PollConnections connections = new PollConnections();
    private final FileReadSchedule fileReads = new FileReadSchedule();
    private String address;
    private double connectNotBeforeMs;
    private double lastResponseAtMs;
    /** Time of the first fault since a valid response or new address; {@link #NEVER} if there was none. */
    private double failingSinceMs = NEVER;

    private PollFault lastFault = PollFault.NO_RESPONSE;
    private double nextWarningAtMs;

    /** Creates a policy for a service at this address; the first tick connects to it. */
    PollPolicy(String address, double nowMs) {
        this.address = address;
        connectNotBeforeMs = nowMs;
        lastResponseAtMs = nowMs;
    }

    /** Returns the time since the last valid response, or since the start if there was none. */
    double lastResponseAgeMs(double nowMs) {
        return nowMs - lastResponseAtMs;
    }

    /** Returns the current address of the service. */
    String address() {
        return address;
    }

    /** Returns the steps that are due. */
    List<PollStep> tick(double nowMs) {
        List<PollStep> steps = new ArrayList<>(2);
        for (PollConnection connection : connections.open()) {
            if (connection.isResumeDue(nowMs)) {
                poll(connection, nowMs, steps);
            }
        }
        connectIfNeeded(nowMs, steps);
        if (fileReads.isReadDue(nowMs, failingSinceMs)) {
            fileReads.beginRead();
            steps.add(new PollStep.ReadFile());
        }
        if (lastResponseAgeMs(nowMs) > WARNING_DELAY_MS && nowMs >= nextWarningAtMs) {
            nextWarningAtMs = nowMs + WARNING_INTERVAL_MS;
            steps.add(new PollStep.WarnNoResponse(address, lastResponseAgeMs(nowMs), lastFault));
        }
        return steps;
    }

    /** Handles an established connection: polls on it, or closes it if it is no longer in use. */
    List<PollStep> connected(int connectionNumber, double nowMs) {
        List<PollStep> steps = new ArrayList<>(1);
        PollConnection connection = connections.find(connectionNumber);
        if (connection == null) {
            steps.add(new PollStep.Close(connectionNumber));
        } else {
            poll(connection, nowMs, steps);
        }
        return steps;
    }

    /** Returns whether the connection is in use; the caller ignores responses on other connections. */
    boolean isOpen(int connectionNumber) {
        return connections.find(connectionNumber) != null;
    }

    /**
     * Handles a valid response: continues to poll, and closes the connections that are not needed any more.
     * While the service is slow, the polls sent after this one stay open, so that an event that this response
     * does not contain arrives with the next of them.
     */
    List<PollStep> responded(int connectionNumber, PollResponse response, double nowMs) {
        List<PollStep> steps = new ArrayList<>(2);
        PollConnection connection = connections.find(connectionNumber);
        if (connection == null) {
            return steps;
        }
        lastResponseAtMs = nowMs;
        failingSinceMs = NEVER;
        nextWarningAtMs = nowMs;
        double responseTimeMs = nowMs - connection.waitingSinceMs();
        connections.recordResponse(connection, nowMs, steps);
        if (response.closesConnection()) {
            connections.close(connection, steps);
            connectNotBeforeMs = nowMs + PAUSE_MS;
            return steps;
        }
        double nextPollAtMs = connections.nextPollAtMs(connection);
        if (!response.hasNewEvent() && responseTimeMs < EARLY_RESPONSE_MS) {
            // An immediate poll would cause a busy loop with a service that does not hold polls.
            nextPollAtMs = nowMs + PAUSE_MS;
        }
        if (nextPollAtMs > nowMs) {
            connection.pause(nextPollAtMs);
        } else {
            poll(connection, nowMs, steps);
        }
        return steps;
    }

    /** Handles a connection that was closed, not established, or aborted after an invalid response. */
    void failed(int connectionNumber, PollFault fault, double nowMs) {
        PollConnection connection = connections.find(connectionNumber);
        if (connection != null) {
            connections.remove(connection);
            connectNotBeforeMs = nowMs + PAUSE_MS;
            recordFault(fault, nowMs);
        }
    }

    /** Schedules a read of the file, because SIGHUP has announced a new one. */
    void reloadAddress(double nowMs) {
        fileReads.requestReload(nowMs);
    }

    /** Handles the address read from the file: if it differs, replaces all connections. */
    List<PollStep> fileReadSucceeded(String newAddress, double nowMs) {
        List<PollStep> steps = new ArrayList<>(PollConnections.MAX_CONNECTIONS);
        fileReads.readSucceeded(nowMs, isFailing());
        if (!newAddress.equals(address)) {
            address = newAddress;
            connections.closeAll(steps);
            connectNotBeforeMs = nowMs;
            failingSinceMs = NEVER;
            steps.addAll(tick(nowMs));
        }
        return steps;
    }

    /** Handles a failed read: the file is missing, truncated or invalid, and the address is kept. */
    void fileReadFailed(double nowMs) {
        fileReads.readFailed(nowMs, isFailing());
    }

    /** Connects if needed; a service with an overdue response is failing, even if it responds to others. */
    private void connectIfNeeded(double nowMs, List<PollStep> steps) {
        if (connections.isAnyOverdue(nowMs)) {
            recordFault(PollFault.NO_RESPONSE, nowMs);
        }
        if (connections.isConnectDue(nowMs) && nowMs >= connectNotBeforeMs) {
            PollConnection added = connections.add(nowMs, steps);
            steps.add(new PollStep.Connect(added.number(), address));
        }
    }

    private void poll(PollConnection connection, double nowMs, List<PollStep> steps) {
        connections.recordPoll(connection, nowMs);
        steps.add(new PollStep.SendPoll(connection.number()));
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
}
