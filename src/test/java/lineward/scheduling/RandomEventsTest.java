package lineward.scheduling;

import static lineward.scheduling.AttemptOutcome.CANCELLED;
import static lineward.scheduling.AttemptOutcome.CONNECT_FAILED;
import static lineward.scheduling.AttemptOutcome.ERROR;
import static lineward.scheduling.AttemptOutcome.OK;
import static lineward.scheduling.AttemptOutcome.REJECTED;
import static lineward.scheduling.AttemptOutcome.RESET;
import static lineward.scheduling.AttemptOutcome.TIMEOUT;
import static lineward.scheduling.TestingScheduler.NO_COSTS;
import static lineward.scheduling.TestingScheduler.classOnKind;
import static lineward.scheduling.TestingScheduler.loadClass;
import static lineward.scheduling.TestingScheduler.lookupClass;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
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

/**
 * Tests with random settings and random valid events that the rules hold and that the same events give the
 * same actions.
 */
public class RandomEventsTest {
    private record TimedEvent(double atMs, int sequenceNumber, SchedulerEvent event) {}

    private static final class RequestRecord {
        int classIndex;
        long key;
        int attempts;
        int inFlight;
        boolean completed;
        boolean mayHaveRun;
        double deadlineMs;
        final List<Long> engines = new ArrayList<>();
    }

    private static SchedulerSettings settings(Random random) {
        RequestClass byKey = new RequestClass(
                new RequestClass.Objective(2000, 1, 8000, 2, 0.3),
                new RequestClass.Repeatability(
                        Idempotence.BY_KEY,
                        List.of(DeduplicationScope.values()).get(random.nextInt(3)),
                        1000 /* ms */,
                        false /* in order */),
                new RequestClass.Placement(null, random.nextBoolean() ? List.of(1) : null),
                new RequestClass.ExecutionProfile(false, true, 2));
        SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                new SchedulerSettings.Capabilities(
                        random.nextBoolean(),
                        random.nextBoolean(),
                        false,
                        random.nextBoolean(),
                        random.nextBoolean(),
                        random.nextBoolean(),
                        random.nextBoolean()),
                new SchedulerSettings.AttemptLimits(1 + random.nextInt(5), 500, random.nextInt(3) * 500),
                new SchedulerSettings.MemoryLimits(
                        0.4, List.of(MemoryShortageHandling.values()).get(random.nextInt(3))));
        boolean limitsRetries = random.nextBoolean();
        SchedulerSettings.Rules rules = new SchedulerSettings.Rules(
                1000,
                new SchedulerSettings.SlowStartRule(5000, 0.33, 3, 1000),
                300,
                new SchedulerSettings.RetryBudget(limitsRetries ? 5000 : 0, 2, 0.1));
        return new SchedulerSettings(
                List.of(lookupClass(), loadClass(), byKey, classOnKind(1)),
                List.of(new EngineKind(4, 8000), new EngineKind(8, 0)),
                new SchedulerSettings.FleetPosition(2, 0, 1 + random.nextInt(4), 0),
                limits,
                rules,
                new SchedulerSettings.LoadReporting(List.of(), false),
                new SchedulerSettings.Discovery(random.nextBoolean(), 5000, true),
                NO_COSTS,
                new SchedulerSettings.TenantQuotas(List.of(), 1));
    }

    private static Endpoint endpoint(long id, EndpointState state, double startMs) {
        return new Endpoint(id, (int) (id % 2), 1, startMs, state, (int) (id / 2 % 2), (int) (id / 2 % 2));
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {
            {1L},
            {2L},
            {3L},
            {4L},
            {5L},
            {6L},
            {7L},
            {8L},
            {9L},
            {10L},
            {11L},
            {12L},
            {13L},
            {14L},
            {15L},
            {16L} /* last */
        };
    }

    @Test(dataProvider = "seeds")
    public void decisionsFollowTheRulesAndAreReproducible(long seed) {
        String firstLog = simulate(seed);
        assertThat(firstLog).contains("StartAttempt").isEqualTo(simulate(seed));
    }

    private static String simulate(long seed) {
        Random random = new Random(seed);
        SchedulerSettings settings = settings(random);
        SpeculativeScheduler scheduler = new SpeculativeScheduler(settings, seed);
        PriorityQueue<TimedEvent> events = new PriorityQueue<>(
                Comparator.comparingDouble(TimedEvent::atMs).thenComparingInt(TimedEvent::sequenceNumber));
        Map<Long, RequestRecord> requests = new HashMap<>();
        Map<Long, List<Long>> requestsByKey = new HashMap<>();
        Map<Long, Double> settledMs = new HashMap<>();
        Map<Long, EndpointState> engineStates = new HashMap<>();
        List<Double> retryTimesMs = new ArrayList<>();
        List<Double> admissionTimesMs = new ArrayList<>();
        boolean hasEstimates = random.nextBoolean();
        int nextNumber = 0;
        List<Endpoint> endpoints = new ArrayList<>();
        for (long id = 1; id <= 6; id++) {
            endpoints.add(endpoint(id, EndpointState.READY, 0));
        }
        events.add(new TimedEvent(1000, nextNumber++, new EndpointsChanged(true, endpoints)));
        for (int i = 1; i <= 600; i++) {
            double atMs = 1000 + random.nextDouble() * 15000;
            int type = random.nextInt(4);
            events.add(new TimedEvent(
                    atMs,
                    nextNumber++,
                    new RequestArrived(
                            i,
                            type,
                            type == 1 ? 1 + random.nextInt(5) : 0,
                            random.nextInt(20) == 0 ? 0 : 1500 + random.nextInt(4000),
                            hasEstimates ? 50 + random.nextInt(900) : 0,
                            random.nextInt(1000),
                            random.nextInt(6),
                            false,
                            0)));
        }
        for (int i = 0; i < 30; i++) {
            EndpointState state = List.of(EndpointState.values()).get(random.nextInt(3));
            double atMs = 1500 + random.nextDouble() * 14000;
            int changedEngine = 1 + random.nextInt(5);
            List<Endpoint> update = List.of(endpoint(changedEngine, state, atMs - 200));
            events.add(new TimedEvent(atMs, nextNumber++, new EndpointsChanged(false, update)));
        }
        StringBuilder actionLog = new StringBuilder();
        while (!events.isEmpty()) {
            TimedEvent next = events.poll();
            double nowMs = next.atMs();
            if (next.event() instanceof EndpointsChanged change) {
                change.endpoints().forEach(e -> engineStates.put(e.engine(), e.state()));
            } else if (next.event() instanceof RequestArrived a) {
                RequestRecord request = new RequestRecord();
                request.classIndex = a.requestClass();
                request.key = a.key();
                request.deadlineMs = nowMs + a.timeLeftMs();
                requests.put(a.requestId(), request);
                admissionTimesMs.add(nowMs);
                if (request.key != 0) {
                    requestsByKey
                            .computeIfAbsent(request.key, k -> new ArrayList<>())
                            .add(a.requestId());
                }
            } else if (next.event() instanceof AttemptEnded ended) {
                RequestRecord request = requests.get(ended.requestId());
                request.inFlight--;
                request.mayHaveRun |= ended.outcome().mayHaveRun();
                request.completed |= ended.requestCompleted();
                if (List.of(TIMEOUT, RESET, CANCELLED).contains(ended.outcome())) {
                    settledMs.merge(request.key, nowMs + settings.rules().settleMs(), Math::max);
                }
            }
            for (SchedulerAction action : scheduler.decide(nowMs, List.of(next.event()))) {
                actionLog.append(nowMs).append(action).append('\n');
                if (action instanceof SchedulerAction.ScheduleTimer a) {
                    events.add(new TimedEvent(nowMs + a.delayMs(), nextNumber++, new TimerFired(a.token())));
                } else if (action instanceof SchedulerAction.Reject a) {
                    RequestRecord request = requests.get(a.requestId());
                    Idempotence idempotence = settings.classes()
                            .get(request.classIndex)
                            .repeatability()
                            .idempotence();
                    assertThat(request.completed).isFalse();
                    RequestClass.Repeatability repeatability =
                            settings.classes().get(request.classIndex).repeatability();
                    boolean anywhere = repeatability.scope() == DeduplicationScope.ALL;
                    boolean byKeyAnywhere = idempotence == Idempotence.BY_KEY && anywhere;
                    boolean neverRan = !request.mayHaveRun && request.inFlight == 0;
                    assertThat(idempotence == Idempotence.IDEMPOTENT || neverRan || byKeyAnywhere)
                            .isTrue();
                    request.completed = true;
                } else if (action instanceof SchedulerAction.CancelAttempt) {
                    assertThat(settings.limits().capabilities().cancellation()).isTrue();
                } else if (action instanceof SchedulerAction.Fail a) {
                    assertThat(requests.get(a.requestId()).completed).isFalse();
                    requests.get(a.requestId()).completed = true;
                } else if (action instanceof SchedulerAction.StartAttempt a) {
                    RequestRecord request = requests.get(a.requestId());
                    RequestClass type = settings.classes().get(request.classIndex);
                    Endpoint e = endpoint(a.engine(), EndpointState.READY, 0);
                    assertThat(request.completed).isFalse();
                    assertThat(request.inFlight).isZero();
                    assertThat(engineStates.get(a.engine())).isEqualTo(EndpointState.READY);
                    assertThat(request.attempts)
                            .isLessThan(settings.limits().attempts().maxPerRequest());
                    assertThat(type.placement().kinds() == null
                                    || type.placement().kinds().contains(e.kind()))
                            .isTrue();
                    assertThat(type.placement().zones() == null
                                    || type.placement().zones().contains(e.zone()))
                            .isTrue();
                    Idempotence idempotence = type.repeatability().idempotence();
                    assertThat(request.mayHaveRun && idempotence == Idempotence.NON_IDEMPOTENT)
                            .isFalse();
                    if (request.mayHaveRun
                            && idempotence == Idempotence.BY_KEY
                            && type.repeatability().scope() != DeduplicationScope.ALL) {
                        assertThat(request.engines).allMatch(tried -> tried / 2 % 2 == a.engine() / 2 % 2);
                    }
                    if (request.key != 0) {
                        for (long earlier : requestsByKey.get(request.key)) {
                            if (earlier == a.requestId()) {
                                break;
                            }
                            assertThat(requests.get(earlier).completed && requests.get(earlier).inFlight == 0)
                                    .isTrue();
                        }
                        assertThat(request.attempts > 0 || nowMs >= settledMs.getOrDefault(request.key, 0.0))
                                .isTrue();
                    }
                    if (request.attempts > 0 && settings.rules().retryBudget().windowMs() > 0) {
                        retryTimesMs.add(nowMs);
                        double windowStartMs =
                                nowMs - settings.rules().retryBudget().windowMs();
                        assertThat((double) retryTimesMs.stream()
                                        .filter(atMs -> atMs >= windowStartMs)
                                        .count())
                                .isLessThanOrEqualTo(2
                                        + 0.1
                                                * admissionTimesMs.stream()
                                                        .filter(atMs -> atMs >= windowStartMs)
                                                        .count());
                    }
                    AttemptOutcome[] outcomes = {OK, OK, OK, ERROR, REJECTED, CONNECT_FAILED, RESET};
                    AttemptOutcome outcome = outcomes[random.nextInt(outcomes.length)];
                    double endMs = nowMs + 20 + random.nextInt(random.nextInt(8) == 0 ? 8000 : 600);
                    if (endMs >= request.deadlineMs) {
                        endMs = request.deadlineMs;
                        outcome = TIMEOUT;
                    }
                    if (outcome != REJECTED && outcome != CONNECT_FAILED) {
                        request.engines.add(a.engine());
                    }
                    int attempt = request.attempts++;
                    boolean answered = outcome == OK;
                    SchedulerEvent ended =
                            new AttemptEnded(a.requestId(), attempt, outcome, answered, 0, 0, new double[0]);
                    events.add(new TimedEvent(Math.max(nowMs, endMs), nextNumber++, ended));
                    request.inFlight++;
                }
            }
            for (RequestRecord request : requests.values()) {
                assertThat(request.completed || nowMs <= request.deadlineMs + 20)
                        .as("an answer by the deadline")
                        .isTrue();
            }
        }
        assertThat(requests.values()).allMatch(request -> request.completed && request.inFlight == 0);
        return actionLog.toString();
    }
}
