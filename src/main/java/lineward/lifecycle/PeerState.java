package lineward.lifecycle;

import java.util.List;

/**
 * The state that a process shares with the other processes of its front end during a hot restart.
 *
 * @param writtenAtMs when it was written, in Unix milliseconds; {@link #LONG_AGO_MS} if the file lacks it
 * @param orders the maintenance commands that the process knows
 */
record PeerState(double writtenAtMs, List<MaintenanceOrder> orders) {
    /** The time of a state whose file lacks one, which makes it count as expired. */
    static final double LONG_AGO_MS = 0;

    /** The state of a file whose content can't be used. */
    static final PeerState UNUSABLE = new PeerState(LONG_AGO_MS, List.of());
}
