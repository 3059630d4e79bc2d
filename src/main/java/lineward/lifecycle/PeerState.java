package lineward.lifecycle;

import java.util.List;

/**
 * The content of the file through which a process shares its state with the other processes of its front end.
 *
 * @param writtenAtMs when it was written, in Unix milliseconds; {@link #LONG_AGO_MS} if the file does not say
 * @param commands the latest maintenance command that the process knows for each engine
 */
record PeerState(double writtenAtMs, List<MaintenanceCommand> commands) {
    /** Replaces a missing time; so far in the past that the state counts as expired. */
    static final double LONG_AGO_MS = 0;

    /** The state of a file whose content can't be used. */
    static final PeerState UNUSABLE = new PeerState(LONG_AGO_MS, List.of());
}
