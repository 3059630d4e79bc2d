package lineward.lifecycle;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides which maintenance commands are in effect, and which fraction of the front end's load this process
 * may use: its quota. Of two commands for one engine the later one is in effect. Does no I/O; times are Unix
 * milliseconds. {@link HotRestart} calls it on the event loop.
 */
final class HotRestartPolicy {
    /** The status of another process, judged by the time in its file. */
    enum PeerStatus {
        /** It is running and uses a part of the front end's quota. */
        RUNNING,
        /** It has ended; its commands are still in effect. */
        ENDED,
        /** It ended long ago, or its file contains no valid time; the file has to be deleted. */
        EXPIRED
    }

    /** Several heartbeats, so that a process with a late heartbeat still counts as running. */
    private static final double RUNNING_MAX_AGE_MS = 3_000;
    /** Long enough for the process that takes over to read the file of a process that has ended. */
    private static final double ENDED_MAX_AGE_MS = 10_000;
    /** Longer than a slow start, so that a release is remembered while it still affects the engine. */
    private static final double RELEASE_TTL_MS = 60_000;
    /** Maximum tolerated difference between the clocks of two processes. */
    private static final double MAX_CLOCK_SKEW_MS = 1_000;

    /** The command in effect for each engine; bounded by the engines that operators have named. */
    private final Map<String, MaintenanceCommand> commands = new TreeMap<>();

    private double quota = 1;

    /** Returns whether an operator has excluded the engine from requests. */
    boolean isExcluded(String engine) {
        MaintenanceCommand command = commands.get(engine);
        return command != null && command.excluded();
    }

    /**
     * Applies a command if it is later than the one in effect for its engine. Returns whether this excludes
     * or releases the engine; the first command for an engine always counts as a change.
     */
    boolean apply(MaintenanceCommand command) {
        MaintenanceCommand previous = commands.get(command.engine());
        if (previous != null && previous.sinceMs() >= command.sinceMs()) {
            return false;
        }
        commands.put(command.engine(), command);
        return previous == null || previous.excluded() != command.excluded();
    }

    /**
     * Returns whether the time of another process's command is plausible. A command with a time in the future
     * would override later ones.
     */
    boolean hasPlausibleTime(MaintenanceCommand command, double nowMs) {
        return command.sinceMs() < nowMs + MAX_CLOCK_SKEW_MS;
    }

    /** Returns the state to share with other processes, after removing releases given long ago. */
    PeerState snapshot(double nowMs) {
        double oldestMs = nowMs - RELEASE_TTL_MS;
        commands.values().removeIf(command -> !command.excluded() && command.sinceMs() < oldestMs);
        return new PeerState(nowMs, List.copyOf(commands.values()));
    }

    /**
     * Returns the status of the process that wrote this state. A time in the future is judged like one that
     * is as far in the past.
     */
    PeerStatus statusOf(PeerState peer, double nowMs) {
        double ageMs = Math.abs(nowMs - peer.writtenAtMs());
        if (ageMs > ENDED_MAX_AGE_MS) {
            return PeerStatus.EXPIRED;
        }
        return ageMs < RUNNING_MAX_AGE_MS ? PeerStatus.RUNNING : PeerStatus.ENDED;
    }

    /** Sets the number of other running processes; returns whether this changes the quota. */
    boolean setRunningPeers(int peers) {
        double previous = quota;
        quota = 1.0 / (1 + peers);
        return quota != previous;
    }

    /** Returns the fraction of the front end's load that this process may use, in (0, 1]. */
    double quota() {
        return quota;
    }
}
