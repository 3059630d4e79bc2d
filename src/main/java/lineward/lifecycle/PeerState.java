package lineward.lifecycle;

import java.util.List;

/**
 * What a process shares with the other processes of its front end during a hot restart.
 *
 * @param writtenAtMs when it was written, in Unix milliseconds; 0 if the file does not say
 * @param orders the operators' orders that the process knows
 */
record PeerState(double writtenAtMs, List<MaintenanceOrder> orders) {
    /** Stands for a file without usable content, which counts as one written long ago. */
    static final PeerState UNUSABLE = new PeerState(0, List.of());
}
