package lineward.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import lineward.discovery.DiscoverySimulation.Behavior;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests in simulated time, over seeded schedules of reloads, missing files and faulty services, that an
 * available service is polled again within a limit after each fault.
 */
public class PollPolicyTest {
    private static final double MAX_UNPOLLED_MS = 2000;
    private static final PollResponse RESPONSE_WITH_EVENT = new PollResponse(true, false);

    /** Returns a schedule of reloads and faults at seeded times; every third starts with a faulty service. */
    private static DiscoverySimulation seededSchedule(int seed) {
        DiscoverySimulation simulation = new DiscoverySimulation(seed, seed % 5 == 0);
        if (seed % 3 == 0) {
            simulation.services.get("a:1").behavior = simulation.randomFault();
            simulation.at(500 + simulation.random.nextInt(4000), () -> simulation.recover("a:1"));
        }
        for (double atMs = 1000; atMs < 40_000; atMs += 1000 + simulation.random.nextInt(6000)) {
            if (simulation.random.nextBoolean()) {
                simulation.reload(atMs, true);
            } else {
                String address = simulation.randomAddress();
                Behavior fault = simulation.randomFault();
                simulation.at(atMs, () -> simulation.startFault(address, fault));
                simulation.at(atMs + simulation.random.nextInt(5000), () -> simulation.recover(address));
            }
        }
        return simulation;
    }

    private static void assertPolledInTime(DiscoverySimulation simulation, int seed) {
        double unpolledMs = simulation.longestUnpolledMs;
        assertTrue(unpolledMs <= MAX_UNPOLLED_MS, "seed " + seed + ": no poll for " + unpolledMs + " ms");
    }

    @Test
    public void anAvailableServiceIsPolledWithinTheLimitInEachSeededSchedule() {
        double longestUnpolledMs = 0;
        for (int seed = 0; seed < 200; seed++) {
            DiscoverySimulation simulation = seededSchedule(seed);
            simulation.run(50_000);
            assertPolledInTime(simulation, seed);
            longestUnpolledMs = Math.max(longestUnpolledMs, simulation.longestUnpolledMs);
            int ioCount = simulation.connectCount + simulation.fileReadCount;
            assertTrue(ioCount < 1500, "seed " + seed + ": " + ioCount + " connections and file reads");
        }
        assertTrue(longestUnpolledMs > 500, "the schedules contain faults");
    }

    /** Without SIGHUP, the file is read again once the old service has stopped responding. */
    @Test
    public void aFileReplacedWithoutASignalIsReadOnceTheOldServiceStopsResponding() {
        for (int seed = 0; seed < 20; seed++) {
            DiscoverySimulation simulation = new DiscoverySimulation(seed, false);
            simulation.reload(3000, false);
            simulation.reload(9000, false);
            simulation.run(20_000);
            assertPolledInTime(simulation, seed);
        }
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {Behavior.REFUSES_CONNECTIONS},
            {Behavior.NEVER_RESPONDS},
            {Behavior.CLOSES_IMMEDIATELY},
            {Behavior.SENDS_SLOWLY}
        };
    }

    @Test(dataProvider = "faults")
    public void faultsAreLoggedEachSecondAndTheFileIsRead(Behavior fault) {
        DiscoverySimulation simulation = new DiscoverySimulation(1, false);
        simulation.at(1000, () -> simulation.startFault("a:1", fault));
        simulation.run(10_000);
        List<Double> warningsAtMs = simulation.warningsAtMs;
        assertTrue(warningsAtMs.size() >= 7 && warningsAtMs.size() <= 8, warningsAtMs.toString());
        int fileReads = simulation.fileReadCount;
        assertTrue(fileReads > 20 && fileReads < 50, fileReads + " reads of the file");
    }

    /** The response of an overdue connection is accepted, and the poll sent after it still waits. */
    @Test
    public void aResponseOfAnOverdueConnectionIsAccepted() {
        PollPolicy policy = new PollPolicy("a:1", 0);
        policy.tick(0);
        policy.connected(1, 1);
        policy.tick(1800);
        policy.connected(2, 1801);
        assertEquals(policy.responded(1, RESPONSE_WITH_EVENT, 2500), List.of());
        assertEquals(policy.lastResponseAgeMs(2600), 100.0);
        assertTrue(policy.isOpen(1) && policy.isOpen(2), "both connections are open");
        assertEquals(policy.tick(2800), List.of());
        assertEquals(policy.tick(2801), List.of(new PollStep.SendPoll(1)));
    }

    /** A response within the limit shows that the service is fast again: one connection is enough. */
    @Test
    public void aResponseInTimeClosesTheOtherConnections() {
        PollPolicy policy = new PollPolicy("a:1", 0);
        policy.tick(0);
        policy.connected(1, 1);
        policy.tick(1800);
        policy.connected(2, 1801);
        List<PollStep> steps = policy.responded(2, RESPONSE_WITH_EVENT, 2500);
        assertEquals(steps, List.of(new PollStep.Close(1), new PollStep.SendPoll(2)));
    }
}
