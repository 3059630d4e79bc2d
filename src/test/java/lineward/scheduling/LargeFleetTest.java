package lineward.scheduling;

import static lineward.scheduling.AttemptOutcome.CONNECT_FAILED;
import static lineward.scheduling.AttemptOutcome.OK;
import static lineward.scheduling.TestingScheduler.NO_COSTS;
import static lineward.scheduling.TestingScheduler.classOnKind;
import static lineward.scheduling.TestingScheduler.limits;
import static lineward.scheduling.TestingScheduler.lookupClass;
import static lineward.scheduling.TestingScheduler.rules;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import lineward.scheduling.SchedulerEvent.AttemptEnded;
import lineward.scheduling.SchedulerEvent.EndpointsChanged;
import lineward.scheduling.SchedulerEvent.RequestArrived;
import lineward.scheduling.SchedulerEvent.TimerFired;
import lineward.scheduling.execution.SpeculativeScheduler;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests slow start, placement, slowdowns and recovery probes in fleets of many front ends without gossip. */
public class LargeFleetTest {
    private static final int CORES = 8;

    private record AttemptStart(double atMs, double workMs) {}

    private record TimedEvent(double atMs, int frontEnd, SchedulerEvent event) {}

    private static AttemptEnded attemptSucceeded(long request) {
        return new AttemptEnded(request, 0, OK, true, 0, 0, new double[0]);
    }

    private static RequestArrived requestArrived(
            long id, int classIndex, double workMs, double memoryMb, int tableGroup) {
        return new RequestArrived(id, classIndex, 0, 5000, workMs, memoryMb, tableGroup, false, 0);
    }

    private final Map<Long, Double> workMsByRequest = new HashMap<>();

    /** Schedules the answer of each attempt for when its work is done, and each timer. */
    private void perform(
            int frontEnd,
            List<SchedulerAction> actions,
            double nowMs,
            PriorityQueue<TimedEvent> events,
            List<List<AttemptStart>> startsByEngine /* by engine */) {
        for (SchedulerAction action : actions) {
            if (action instanceof SchedulerAction.StartAttempt start) {
                double workMs = workMsByRequest.get(start.requestId());
                startsByEngine.get((int) start.engine()).add(new AttemptStart(nowMs, workMs));
                events.add(new TimedEvent(nowMs + workMs, frontEnd, attemptSucceeded(start.requestId())));
            } else if (action instanceof SchedulerAction.ScheduleTimer timer) {
                events.add(new TimedEvent(nowMs + timer.delayMs(), frontEnd, new TimerFired(timer.token())));
            }
        }
    }

    @DataProvider
    public Object[][] fleetSizes() {
        return new Object[][] {{1}, {3}, {50}, {300}};
    }

    /**
     * Half of the engines have just started. The front ends together use each of them, and send no more work
     * within any window than its slow-start budget.
     */
    @Test(dataProvider = "fleetSizes")
    public void enginesInSlowStartAreUsedWithinTheirBudget(int frontEnds) {
        SchedulerSettings.Rules rules = rules();
        Random random = new Random(frontEnds);
        int engines = 10;
        double startMs = 100_000;
        List<Endpoint> endpoints = new ArrayList<>();
        for (int id = 1; id <= engines; id++) {
            endpoints.add(new Endpoint(id, 0, 1, id % 2 == 0 ? startMs - 100 : 0, EndpointState.READY, 0, 0));
        }
        List<SpeculativeScheduler> schedulers = new ArrayList<>();
        for (int i = 0; i < frontEnds; i++) {
            RequestClass lookup = lookupClass();
            schedulers.add(new SpeculativeScheduler(
                    new SchedulerSettings(
                            List.of(lookup),
                            List.of(new EngineKind(CORES, 0)),
                            new SchedulerSettings.FleetPosition(1, 0, frontEnds, i),
                            limits(4),
                            rules,
                            new SchedulerSettings.LoadReporting(List.of(), false),
                            new SchedulerSettings.Discovery(false, 0, false),
                            NO_COSTS,
                            new SchedulerSettings.TenantQuotas(List.of(), 1)),
                    i));
            schedulers.get(i).decide(startMs, List.of(new EndpointsChanged(true, endpoints)));
        }
        List<List<AttemptStart>> startsByEngine = new ArrayList<>();
        for (int id = 0; id <= engines; id++) {
            startsByEngine.add(new ArrayList<>());
        }
        int requestCount = 0;
        double endMs = startMs;
        PriorityQueue<TimedEvent> events = new PriorityQueue<>((a, b) -> Double.compare(a.atMs(), b.atMs()));
        for (double nowMs = startMs; nowMs < startMs + rules.slowStart().durationMs() - 200; nowMs += 5) {
            while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
                TimedEvent timedEvent = events.poll();
                SpeculativeScheduler scheduler = schedulers.get(timedEvent.frontEnd());
                List<SchedulerAction> actions = scheduler.decide(nowMs, List.of(timedEvent.event()));
                perform(timedEvent.frontEnd(), actions, nowMs, events, startsByEngine);
            }
            if (random.nextInt(10) < 9) {
                int frontEnd = random.nextInt(frontEnds);
                double workMs = random.nextInt(6) == 0 ? 1200 : 50 + random.nextInt(250);
                long id = ++requestCount;
                workMsByRequest.put(id, workMs);
                RequestArrived request = requestArrived(id, 0, workMs, 100, 0);
                List<SchedulerAction> actions = schedulers.get(frontEnd).decide(nowMs, List.of(request));
                perform(frontEnd, actions, nowMs, events, startsByEngine);
            }
            endMs = nowMs;
        }
        double maxWorkMs = rules.slowStart().overloadFactor()
                * rules.slowStart().initialRatio()
                * 0.85
                * CORES
                * rules.slowStart().windowMs();
        for (int id = 2; id <= engines; id += 2) {
            List<AttemptStart> starts = startsByEngine.get(id);
            for (AttemptStart first : starts) {
                double workInWindow = starts.stream()
                        .filter(other -> other.atMs() >= first.atMs()
                                && other.atMs()
                                        < first.atMs() + rules.slowStart().windowMs())
                        .mapToDouble(AttemptStart::workMs)
                        .sum();
                String from = "engine " + id + " from " + first.atMs();
                assertThat(workInWindow).as(from).isLessThanOrEqualTo(maxWorkMs);
            }
            for (double from = startMs; from + 5000 < endMs; from += 5000) {
                double begin = from;
                assertThat(starts)
                        .as("engine " + id + " is used")
                        .anyMatch(other -> other.atMs() >= begin && other.atMs() < begin + 5000);
            }
        }
    }

    @DataProvider
    public Object[][] largeFleetSizes() {
        return new Object[][] {{50}, {300}};
    }

    /**
     * Each front end has one request at a time and sees only idle engines. Still the larger engine kind must
     * not get all requests: the class that may run anywhere must leave that kind to the class that is
     * restricted to it.
     */
    @Test(dataProvider = "largeFleetSizes")
    public void unrestrictedClassLeavesEnginesToARestrictedOne(int frontEnds) {
        List<EngineKind> kinds = List.of(new EngineKind(16, 32000), new EngineKind(12, 24000));
        List<Endpoint> endpoints = new ArrayList<>();
        for (int id = 0; id < 20; id++) {
            endpoints.add(new Endpoint(id, id % 2, 1, 0, EndpointState.READY, 0, 0));
        }
        int[] lookupsByKind = new int[2];
        for (int i = 0; i < frontEnds; i++) {
            List<RequestClass> classes = List.of(lookupClass(), classOnKind(0));
            SpeculativeScheduler scheduler = new SpeculativeScheduler(
                    new SchedulerSettings(
                            classes,
                            kinds,
                            new SchedulerSettings.FleetPosition(1, 0, frontEnds, i),
                            limits(4),
                            rules(),
                            new SchedulerSettings.LoadReporting(List.of(), false),
                            new SchedulerSettings.Discovery(false, 0, false),
                            NO_COSTS,
                            new SchedulerSettings.TenantQuotas(List.of(), 1)),
                    i);
            scheduler.decide(0, List.of(new EndpointsChanged(true, endpoints)));
            for (int request = 1; request <= 10; request++) {
                double nowMs = request * 1000;
                int type = request % 2;
                RequestArrived arrival = requestArrived(request, type, 200, 300, request);
                for (SchedulerAction action : scheduler.decide(nowMs, List.of(new TimerFired(0), arrival))) {
                    if (action instanceof SchedulerAction.StartAttempt start && type == 0 && request > 2) {
                        lookupsByKind[(int) start.engine() % 2]++;
                    }
                }
                scheduler.decide(nowMs + 200, List.of(attemptSucceeded(request)));
            }
        }
        // Half of the work is restricted to kind 0, which has 16 of the 28 cores. Equal load on all cores
        // means that kind 0 gets 1 in 7 of the other requests.
        assertThat(lookupsByKind[0]).isGreaterThan(frontEnds / 4);
        assertThat(lookupsByKind[1]).isGreaterThan(2 * lookupsByKind[0]);
    }

    /**
     * A few answers per second from forty engines are too few to detect that a single engine is slow, but
     * enough to detect that the fleet is.
     */
    @Test
    public void frontEndWithLittleTrafficDetectsASlowFleet() {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int id = 1; id <= 40; id++) {
            endpoints.add(new Endpoint(id, 0, 1, 0, EndpointState.READY, 0, 0));
        }
        TestingScheduler scheduler = new TestingScheduler(new SchedulerSettings(
                List.of(lookupClass()),
                List.of(new EngineKind(8, 16000)),
                new SchedulerSettings.FleetPosition(1, 0, 50, 7),
                limits(4),
                rules(),
                new SchedulerSettings.LoadReporting(List.of(), false),
                new SchedulerSettings.Discovery(false, 0, false),
                NO_COSTS,
                new SchedulerSettings.TenantQuotas(List.of(), 1)));
        scheduler.receive(new EndpointsChanged(true, endpoints));
        for (int i = 0; i < 40; i++) {
            scheduler.requestArrives(i, 0).advance(200).attemptEnds(i, 0, OK).advance(100);
        }
        scheduler.requestArrives(100, 0, 0, 2000, 5000);
        String message = "a long request starts while the fleet is fast";
        assertThat(scheduler.lastStartedEngine()).as(message).isPositive();
        scheduler.attemptEnds(100, 0, OK).advance(6000);
        for (int i = 200; i < 212; i++) {
            scheduler.requestArrives(i, 0);
        }
        scheduler.advance(1000);
        for (int i = 200; i < 212; i++) {
            scheduler.attemptEnds(i, 0, OK);
        }
        scheduler.advance(600).requestArrives(300, 0, 0, 2000, 5000);
        assertThat(scheduler.lastActions(SchedulerAction.Reject.class))
                .as("it cannot meet its objective any more")
                .hasSize(1);
    }

    @DataProvider
    public Object[][] probedFleetSizes() {
        return new Object[][] {{1}, {50}, {300}};
    }

    /** Half of the engines refuse connections; recovery probes to them stay a fraction of the traffic. */
    @Test(dataProvider = "probedFleetSizes")
    public void recoveryProbesStayAFractionOfTheTraffic(int frontEnds) {
        int requestCount = 0;
        int probes = 0;
        for (int i = 0; i < Math.min(frontEnds, 30); i++) {
            List<EngineKind> kinds = List.of(new EngineKind(8, 16000));
            TestingScheduler scheduler = new TestingScheduler(new SchedulerSettings(
                    List.of(lookupClass()),
                    kinds,
                    new SchedulerSettings.FleetPosition(1, 0, frontEnds, i),
                    limits(4),
                    rules(),
                    new SchedulerSettings.LoadReporting(List.of(), false),
                    new SchedulerSettings.Discovery(false, 0, false),
                    NO_COSTS,
                    new SchedulerSettings.TenantQuotas(List.of(), 1)));
            scheduler.listEngines(1, 2, 3, 4, 5, 6, 7, 8);
            for (int id = 1; id <= 60; id++) {
                scheduler.requestArrives(id, 0);
                for (int attempt = 0; scheduler.lastStartedEngine() > 0; attempt++) {
                    boolean refusesConnections = scheduler.lastStartedEngine() > 4;
                    probes += refusesConnections && id > 20 ? 1 : 0;
                    scheduler.attemptEnds(id, attempt, refusesConnections ? CONNECT_FAILED : OK);
                }
                requestCount += id > 20 ? 1 : 0;
                scheduler.advance(400);
            }
        }
        assertThat(probes).isPositive().isLessThanOrEqualTo(requestCount / 5);
    }
}
