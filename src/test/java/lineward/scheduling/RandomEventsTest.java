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
    private record Due(double at, int order, SchedulerEvent event) {}

    private static final class RequestRecord {
        int type;
        long key;
        int attempts;
        int inFlight;
        boolean completed;
        boolean mayHaveRun;
        double deadline;
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
        boolean budget = random.nextBoolean();
        SchedulerSettings.Rules rules = new SchedulerSettings.Rules(
                1000,
                new SchedulerSettings.SlowStartRule(5000, 0.33, 3, 1000),
                300,
                new SchedulerSettings.RetryBudget(budget ? 5000 : 0, 2, 0.1));
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

    private static Endpoint engine(long id, EndpointState state, double since) {
        return new Endpoint(id, (int) (id % 2), 1, since, state, (int) (id / 2 % 2), (int) (id / 2 % 2));
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
        String first = day(seed);
        assertThat(first).contains("StartAttempt").isEqualTo(day(seed));
    }

    private static String day(long seed) {
        Random random = new Random(seed);
        SchedulerSettings settings = settings(random);
        SpeculativeScheduler scheduler = new SpeculativeScheduler(settings, seed);
        PriorityQueue<Due> due =
                new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingInt(Due::order));
        Map<Long, RequestRecord> requests = new HashMap<>();
        Map<Long, List<Long>> requestsByKey = new HashMap<>();
        Map<Long, Double> settledMs = new HashMap<>();
        Map<Long, EndpointState> engineStates = new HashMap<>();
        List<Double> retriesMs = new ArrayList<>();
        List<Double> admittedMs = new ArrayList<>();
        boolean costs = random.nextBoolean();
        int order = 0;
        List<Endpoint> list = new ArrayList<>();
        for (long id = 1; id <= 6; id++) {
            list.add(engine(id, EndpointState.READY, 0));
        }
        due.add(new Due(1000, order++, new EndpointsChanged(true, list)));
        for (int i = 1; i <= 600; i++) {
            double at = 1000 + random.nextDouble() * 15000;
            int type = random.nextInt(4);
            due.add(new Due(
                    at,
                    order++,
                    new RequestArrived(
                            i,
                            type,
                            type == 1 ? 1 + random.nextInt(5) : 0,
                            random.nextInt(20) == 0 ? 0 : 1500 + random.nextInt(4000),
                            costs ? 50 + random.nextInt(900) : 0,
                            random.nextInt(1000),
                            random.nextInt(6),
                            false,
                            0)));
        }
        for (int i = 0; i < 30; i++) {
            EndpointState state = List.of(EndpointState.values()).get(random.nextInt(3));
            double at = 1500 + random.nextDouble() * 14000;
            int changed = 1 + random.nextInt(5);
            List<Endpoint> update = List.of(engine(changed, state, at - 200));
            due.add(new Due(at, order++, new EndpointsChanged(false, update)));
        }
        StringBuilder log = new StringBuilder();
        while (!due.isEmpty()) {
            Due next = due.poll();
            double now = next.at();
            if (next.event() instanceof EndpointsChanged change) {
                change.endpoints().forEach(e -> engineStates.put(e.engine(), e.state()));
            } else if (next.event() instanceof RequestArrived a) {
                RequestRecord request = new RequestRecord();
                request.type = a.requestClass();
                request.key = a.key();
                request.deadline = now + a.timeLeftMs();
                requests.put(a.request(), request);
                admittedMs.add(now);
                if (request.key != 0) {
                    requestsByKey
                            .computeIfAbsent(request.key, k -> new ArrayList<>())
                            .add(a.request());
                }
            } else if (next.event() instanceof AttemptEnded ended) {
                RequestRecord request = requests.get(ended.request());
                request.inFlight--;
                request.mayHaveRun |= ended.outcome().mayHaveRun();
                request.completed |= ended.requestCompleted();
                if (List.of(TIMEOUT, RESET, CANCELLED).contains(ended.outcome())) {
                    settledMs.merge(request.key, now + settings.rules().settleMs(), Math::max);
                }
            }
            for (SchedulerAction action : scheduler.decide(now, List.of(next.event()))) {
                log.append(now).append(action).append('\n');
                if (action instanceof SchedulerAction.ScheduleTimer a) {
                    due.add(new Due(now + a.delayMs(), order++, new TimerFired(a.token())));
                } else if (action instanceof SchedulerAction.Reject a) {
                    RequestRecord request = requests.get(a.request());
                    Idempotence idempotence =
                            settings.classes().get(request.type).repeatability().idempotence();
                    assertThat(request.completed).isFalse();
                    RequestClass.Repeatability repeat =
                            settings.classes().get(request.type).repeatability();
                    boolean anywhere = repeat.scope() == DeduplicationScope.ALL;
                    boolean byKeyAnywhere = idempotence == Idempotence.BY_KEY && anywhere;
                    boolean neverRan = !request.mayHaveRun && request.inFlight == 0;
                    assertThat(idempotence == Idempotence.IDEMPOTENT || neverRan || byKeyAnywhere)
                            .isTrue();
                    request.completed = true;
                } else if (action instanceof SchedulerAction.CancelAttempt) {
                    assertThat(settings.limits().capabilities().cancellation()).isTrue();
                } else if (action instanceof SchedulerAction.Fail a) {
                    assertThat(requests.get(a.request()).completed).isFalse();
                    requests.get(a.request()).completed = true;
                } else if (action instanceof SchedulerAction.StartAttempt a) {
                    RequestRecord request = requests.get(a.request());
                    RequestClass type = settings.classes().get(request.type);
                    Endpoint e = engine(a.engine(), EndpointState.READY, 0);
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
                        for (long before : requestsByKey.get(request.key)) {
                            if (before == a.request()) {
                                break;
                            }
                            assertThat(requests.get(before).completed && requests.get(before).inFlight == 0)
                                    .isTrue();
                        }
                        assertThat(request.attempts > 0 || now >= settledMs.getOrDefault(request.key, 0.0))
                                .isTrue();
                    }
                    if (request.attempts > 0 && settings.rules().retryBudget().windowMs() > 0) {
                        retriesMs.add(now);
                        double from = now - settings.rules().retryBudget().windowMs();
                        assertThat((double) retriesMs.stream()
                                        .filter(atMs -> atMs >= from)
                                        .count())
                                .isLessThanOrEqualTo(2
                                        + 0.1
                                                * admittedMs.stream()
                                                        .filter(atMs -> atMs >= from)
                                                        .count());
                    }
                    AttemptOutcome[] outcomes = {OK, OK, OK, ERROR, REJECTED, CONNECT_FAILED, RESET};
                    AttemptOutcome outcome = outcomes[random.nextInt(outcomes.length)];
                    double ends = now + 20 + random.nextInt(random.nextInt(8) == 0 ? 8000 : 600);
                    if (ends >= request.deadline) {
                        ends = request.deadline;
                        outcome = TIMEOUT;
                    }
                    if (outcome != REJECTED && outcome != CONNECT_FAILED) {
                        request.engines.add(a.engine());
                    }
                    int attempt = request.attempts++;
                    boolean answered = outcome == OK;
                    SchedulerEvent ended =
                            new AttemptEnded(a.request(), attempt, outcome, answered, 0, 0, new double[0]);
                    due.add(new Due(Math.max(now, ends), order++, ended));
                    request.inFlight++;
                }
            }
            for (RequestRecord request : requests.values()) {
                assertThat(request.completed || now <= request.deadline + 20)
                        .as("an answer by the deadline")
                        .isTrue();
            }
        }
        assertThat(requests.values()).allMatch(request -> request.completed && request.inFlight == 0);
        return log.toString();
    }
}
