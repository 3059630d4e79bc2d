package lineward.discovery;

import java.util.ArrayList;
import java.util.List;

/**
 * The open connections to service discovery, and the decision which of them to close. Does no I/O; times are
 * in milliseconds of a monotonic clock. Used by {@link PollPolicy}.
 *
 * <p>A connection is never closed only because its response is late. It is closed if a poll that was sent
 * later has been answered, or if a new connection needs its place. At most {@value #MAX_CONNECTIONS}
 * connections are open. A new connection takes the place of the second oldest, so that each one may wait for
 * several seconds and the oldest for longer. The connection that responded last is kept.
 */
final class PollConnections {
    /**
     * Limit on open connections. With their least interval, it lets each poll wait for longer than the 7 s
     * after which an event counts as delivered.
     */
    static final int MAX_CONNECTIONS = 8;
    /** Up to this number of connections, a slow connect is followed by another one immediately. */
    private static final int IMMEDIATE_CONNECTIONS = 3;
    /** Interval of further connects; shorter ones would replace connections before they may respond. */
    private static final double CONNECT_INTERVAL_MS = PollConnection.RESPONSE_LIMIT_MS;
    /** Least interval of polls while several connections wait. */
    private static final double MIN_POLL_INTERVAL_MS = PollPolicy.LONG_POLL_TIMEOUT_MS;
    /** Time for which the oldest connection may wait before it is closed; doubles each time it is reached. */
    static final double INITIAL_OLDEST_WAIT_MS = 15_000;

    /** In the order in which their waits began. */
    private final List<PollConnection> connections = new ArrayList<>(MAX_CONNECTIONS);

    private double oldestWaitMs = INITIAL_OLDEST_WAIT_MS;
    private double lastAddedAtMs = Double.NEGATIVE_INFINITY;
    private int lastConnectionNumber;
    /** Number of the connection that responded last; 0 if there is none. */
    private int lastResponderNumber;

    /** Returns whether no connection is open. */
    boolean isEmpty() {
        return connections.isEmpty();
    }

    /** Returns whether a connection has waited longer than the limit of its state. */
    boolean isAnyOverdue(double nowMs) {
        return connections.stream().anyMatch(connection -> connection.isOverdue(nowMs));
    }

    /** Returns whether to open another connection, as the service may not respond on the open ones. */
    boolean isConnectDue(double nowMs) {
        boolean allOverdue = connections.stream().allMatch(connection -> connection.isOverdue(nowMs));
        boolean intervalOver = nowMs - lastAddedAtMs >= CONNECT_INTERVAL_MS;
        return allOverdue && (connections.size() < IMMEDIATE_CONNECTIONS || intervalOver);
    }

    /** Returns the connections that are open now. */
    List<PollConnection> open() {
        return List.copyOf(connections);
    }

    /** Returns the connection with that number, or null if it is closed. */
    PollConnection find(int connectionNumber) {
        for (PollConnection connection : connections) {
            if (connection.number() == connectionNumber) {
                return connection;
            }
        }
        return null;
    }

    /** Adds a connection that is being established, and closes another one if there are too many. */
    PollConnection add(double nowMs, List<PollStep> steps) {
        if (connections.size() == MAX_CONNECTIONS) {
            close(connectionToReplace(nowMs), steps);
        }
        lastAddedAtMs = nowMs;
        lastConnectionNumber++;
        PollConnection added = new PollConnection(lastConnectionNumber, nowMs);
        connections.add(added);
        return added;
    }

    /** Returns the oldest connection if it has waited too long, or else the second oldest. */
    private PollConnection connectionToReplace(double nowMs) {
        PollConnection oldest = connections.get(0);
        if (nowMs - oldest.waitingSinceMs() > oldestWaitMs) {
            oldestWaitMs *= 2;
            return oldest;
        }
        PollConnection second = connections.get(1);
        return second.number() == lastResponderNumber ? connections.get(2) : second;
    }

    /** Records that a poll is sent on the connection. */
    void recordPoll(PollConnection connection, double nowMs) {
        connection.recordPoll(nowMs);
        moveToEnd(connection);
    }

    /**
     * Records a valid response on the connection and closes the connections that are not needed any more: all
     * others if the response was in time, or else those that have waited longer.
     */
    void recordResponse(PollConnection connection, double nowMs, List<PollStep> steps) {
        lastResponderNumber = connection.number();
        boolean inTime = !connection.isOverdue(nowMs);
        for (PollConnection other : open()) {
            boolean waitsLonger = connections.indexOf(other) < connections.indexOf(connection);
            if (other != connection && (inTime || waitsLonger)) {
                close(other, steps);
            }
        }
        moveToEnd(connection);
    }

    /**
     * Returns the time from which a connection may poll again after a response. Polls are spread over time
     * while others wait, as polls that are sent together are also answered together.
     */
    double nextPollAtMs(PollConnection responder) {
        return connections.stream()
                .filter(other -> other != responder)
                .mapToDouble(other -> other.latestPollMs() + MIN_POLL_INTERVAL_MS)
                .max()
                .orElse(Double.NEGATIVE_INFINITY);
    }

    private void moveToEnd(PollConnection connection) {
        connections.remove(connection);
        connections.add(connection);
    }

    /** Closes a connection. */
    void close(PollConnection connection, List<PollStep> steps) {
        remove(connection);
        steps.add(new PollStep.Close(connection.number()));
    }

    /** Closes all connections, because the service has another address. */
    void closeAll(List<PollStep> steps) {
        open().forEach(connection -> close(connection, steps));
        oldestWaitMs = INITIAL_OLDEST_WAIT_MS;
    }

    /** Removes a connection that is closed already. */
    void remove(PollConnection connection) {
        connections.remove(connection);
    }
}
