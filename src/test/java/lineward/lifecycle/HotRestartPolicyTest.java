package lineward.lifecycle;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import lineward.lifecycle.HotRestartPolicy.PeerStatus;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Which maintenance commands are in effect, how the age of a peer's file determines the peer's status, and
 * the quota of a process.
 */
public class HotRestartPolicyTest {
    private static final double NOW_MS = 1_000_000;

    private static MaintenanceCommand command(boolean excluded, double sinceMs) {
        return new MaintenanceCommand("s-1", excluded, sinceMs);
    }

    /** Age of a peer's file in milliseconds, negative if its time is in the future, and the peer's status. */
    @DataProvider
    public Object[][] ages() {
        return new Object[][] {
            {0, PeerStatus.RUNNING},
            {2_999, PeerStatus.RUNNING},
            {-2_999, PeerStatus.RUNNING},
            {3_000, PeerStatus.ENDED},
            {-3_000, PeerStatus.ENDED},
            {10_000, PeerStatus.ENDED},
            {10_001, PeerStatus.EXPIRED},
            {-10_001, PeerStatus.EXPIRED}
        };
    }

    @Test(dataProvider = "ages")
    public void ageOfTheFileDeterminesThePeersStatus(int ageMs, PeerStatus status) {
        PeerState peer = new PeerState(NOW_MS - ageMs, List.of());
        assertEquals(new HotRestartPolicy().statusOf(peer, NOW_MS), status);
    }

    @Test
    public void unusableFileCountsAsExpired() {
        PeerStatus status = new HotRestartPolicy().statusOf(PeerState.UNUSABLE, NOW_MS);
        assertEquals(status, PeerStatus.EXPIRED);
    }

    /**
     * First command, second command; whether the second excludes or releases the engine, and whether the
     * engine is excluded afterwards.
     */
    @DataProvider
    public Object[][] commands() {
        return new Object[][] {
            {command(true, 10), command(false, 20), true, false},
            {command(true, 10), command(false, 10), false, true},
            {command(true, 10), command(false, 9), false, true},
            {command(true, 10), command(true, 20), false, true},
            {command(false, 10), command(true, 20), true, true}
        };
    }

    @Test(dataProvider = "commands")
    public void laterCommandIsInEffect(
            MaintenanceCommand first, MaintenanceCommand second, boolean changes, boolean excluded) {
        HotRestartPolicy policy = new HotRestartPolicy();
        assertTrue(policy.apply(first));
        assertEquals(policy.apply(second), changes);
        assertEquals(policy.isExcluded("s-1"), excluded);
    }

    @Test
    public void commandFromTheFutureIsNotCredible() {
        HotRestartPolicy policy = new HotRestartPolicy();
        assertTrue(policy.hasPlausibleTime(command(true, NOW_MS + 999), NOW_MS));
        assertFalse(policy.hasPlausibleTime(command(true, NOW_MS + 1_000), NOW_MS));
    }

    @Test
    public void snapshotDropsReleasesGivenLongAgo() {
        HotRestartPolicy policy = new HotRestartPolicy();
        policy.apply(command(false, NOW_MS - 60_000));
        policy.apply(new MaintenanceCommand("s-2", true, 0));
        assertEquals(policy.snapshot(NOW_MS).commands().size(), 2);
        PeerState later = policy.snapshot(NOW_MS + 1);
        assertEquals(later, new PeerState(NOW_MS + 1, List.of(new MaintenanceCommand("s-2", true, 0))));
    }

    @Test
    public void quotaIsSharedByRunningProcesses() {
        HotRestartPolicy policy = new HotRestartPolicy();
        assertEquals(policy.quota(), 1.0);
        assertFalse(policy.setRunningPeers(0));
        assertTrue(policy.setRunningPeers(1));
        assertEquals(policy.quota(), 0.5);
        assertFalse(policy.setRunningPeers(1));
        assertTrue(policy.setRunningPeers(0));
        assertEquals(policy.quota(), 1.0);
    }
}
