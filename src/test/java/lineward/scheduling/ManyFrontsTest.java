package lineward.scheduling;

import static lineward.scheduling.AttemptOutcome.CONNECT_FAILED;
import static lineward.scheduling.AttemptOutcome.OK;
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

/** Modules that cannot talk keep a cold engine's budget together, and use it. */
public class ManyFrontsTest {
    private static final int CORES = 8;

    private record Sent(double at, double work) {}

    private record Due(double at, int front, SchedulerEvent event) {}

    private static AttemptEnded served(long request) {
        return new AttemptEnded(request, 0, OK, true, 0, 0, new double[0]);
    }

    private static RequestArrived request(long id, int type, double cost, double memoryMb, int group) {
        return new RequestArrived(id, type, 0, 5000, cost, memoryMb, group, false, 0);
    }

    private final Map<Long, Double> costs = new HashMap<>();

    /** Each attempt is answered after its work; wakes come when asked for. */
    private void note(
            int front,
            List<SchedulerAction> actions,
            double now,
            PriorityQueue<Due> out,
            List<List<Sent>> sent /* by engine */) {
        for (SchedulerAction action : actions) {
            if (action instanceof SchedulerAction.StartAttempt send) {
                double cost = costs.get(send.request());
                sent.get((int) send.engine()).add(new Sent(now, cost));
                out.add(new Due(now + cost, front, served(send.request())));
            } else if (action instanceof SchedulerAction.ScheduleTimer after) {
                out.add(new Due(now + after.delayMs(), front, new TimerFired(after.token())));
            }
        }
    }

    /** Half the engines have just started; sends are added up with the work really asked for. */
    @DataProvider
    public Object[][] coldEnginesAreUsedAndNotPushedOverCases() {
        return new Object[][] {{1}, {3}, {50}, {300}};
    }

    @Test(dataProvider = "coldEnginesAreUsedAndNotPushedOverCases")
    public void coldEnginesAreUsedAndNotPushedOver(int fronts) {
        SchedulerSettings.Rules rules = Scene.rules();
        Random random = new Random(fronts);
        int engines = 10;
        double start = 100_000;
        List<Endpoint> list = new ArrayList<>();
        for (int id = 1; id <= engines; id++) {
            list.add(new Endpoint(id, 0, 1, id % 2 == 0 ? start - 100 : 0, EndpointState.READY, 0, 0));
        }
        List<SpeculativeScheduler> modules = new ArrayList<>();
        for (int i = 0; i < fronts; i++) {
            RequestClass look = Scene.look();
            modules.add(new SpeculativeScheduler(
                    new SchedulerSettings(
                            List.of(look),
                            List.of(new EngineKind(CORES, 0)),
                            new SchedulerSettings.FleetPosition(1, 0, fronts, i),
                            Scene.limits(4),
                            rules,
                            new SchedulerSettings.Reporting(List.of(), false),
                            new SchedulerSettings.Discovery(false, 0, false),
                            Scene.FREE,
                            new SchedulerSettings.Quotas(List.of(), 1)),
                    i));
            modules.get(i).decide(start, List.of(new EndpointsChanged(true, list)));
        }
        List<List<Sent>> cold = new ArrayList<>();
        for (int id = 0; id <= engines; id++) {
            cold.add(new ArrayList<>());
        }
        int asked = 0;
        double answered = start;
        PriorityQueue<Due> out = new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
        for (double now = start; now < start + rules.slowStart().durationMs() - 200; now += 5) {
            while (!out.isEmpty() && out.peek().at() <= now) {
                Due due = out.poll();
                note(due.front(), modules.get(due.front()).decide(now, List.of(due.event())), now, out, cold);
            }
            if (random.nextInt(10) < 9) {
                int front = random.nextInt(fronts);
                double cost = random.nextInt(6) == 0 ? 1200 : 50 + random.nextInt(250);
                long id = ++asked;
                costs.put(id, cost);
                RequestArrived request = request(id, 0, cost, 100, 0);
                List<SchedulerAction> actions = modules.get(front).decide(now, List.of(request));
                note(front, actions, now, out, cold);
            }
            answered = now;
        }
        double allowed = rules.slowStart().overloadFactor()
                * rules.slowStart().initialRatio()
                * 0.85
                * CORES
                * rules.slowStart().windowMs();
        for (int id = 2; id <= engines; id += 2) {
            List<Sent> sends = cold.get(id);
            for (Sent first : sends) {
                double window = sends.stream()
                        .filter(s -> s.at() >= first.at()
                                && s.at() < first.at() + rules.slowStart().windowMs())
                        .mapToDouble(Sent::work)
                        .sum();
                assertThat(window).as("engine " + id + " from " + first.at()).isLessThanOrEqualTo(allowed);
            }
            for (double from = start; from + 5000 < answered; from += 5000) {
                double begin = from;
                assertThat(sends)
                        .as("engine " + id + " is used")
                        .anyMatch(s -> s.at() >= begin && s.at() < begin + 5000);
            }
        }
    }

    /**
     * Each front sees empty engines and takes one request at a time: the larger kind must not get all, and
     * who may run anywhere leaves it to the class that is bound to it.
     */
    @DataProvider
    public Object[][] everyKindIsUsedAndScarceOnesAreLeftToTheBoundCases() {
        return new Object[][] {{50}, {300}};
    }

    @Test(dataProvider = "everyKindIsUsedAndScarceOnesAreLeftToTheBoundCases")
    public void everyKindIsUsedAndScarceOnesAreLeftToTheBound(int fronts) {
        List<EngineKind> kinds = List.of(new EngineKind(16, 32000), new EngineKind(12, 24000));
        List<Endpoint> list = new ArrayList<>();
        for (int id = 0; id < 20; id++) {
            list.add(new Endpoint(id, id % 2, 1, 0, EndpointState.READY, 0, 0));
        }
        int[] looks = new int[2];
        for (int i = 0; i < fronts; i++) {
            List<RequestClass> classes = List.of(Scene.look(), Scene.bound(0));
            SpeculativeScheduler module = new SpeculativeScheduler(
                    new SchedulerSettings(
                            classes,
                            kinds,
                            new SchedulerSettings.FleetPosition(1, 0, fronts, i),
                            Scene.limits(4),
                            Scene.rules(),
                            new SchedulerSettings.Reporting(List.of(), false),
                            new SchedulerSettings.Discovery(false, 0, false),
                            Scene.FREE,
                            new SchedulerSettings.Quotas(List.of(), 1)),
                    i);
            module.decide(0, List.of(new EndpointsChanged(true, list)));
            for (int n = 1; n <= 10; n++) {
                double now = n * 1000;
                int type = n % 2;
                for (SchedulerAction action :
                        module.decide(now, List.of(new TimerFired(0), request(n, type, 200, 300, n)))) {
                    if (action instanceof SchedulerAction.StartAttempt send && type == 0 && n > 2) {
                        looks[(int) send.engine() % 2]++;
                    }
                }
                module.decide(now + 200, List.of(served(n)));
            }
        }
        // Half the work is bound to kind 0, with 16 of 28 cores: a level fleet gives it 1 in 7 of the rest.
        assertThat(looks[0]).isGreaterThan(fronts / 4);
        assertThat(looks[1]).isGreaterThan(2 * looks[0]);
    }

    /** Forty engines and a few answers a second: none tells much alone, together they show a slow fleet. */
    @Test
    public void aFrontOfLittleTrafficSeesThatTheFleetIsSlow() {
        List<Endpoint> list = new ArrayList<>();
        for (int id = 1; id <= 40; id++) {
            list.add(new Endpoint(id, 0, 1, 0, EndpointState.READY, 0, 0));
        }
        Scene s = new Scene(new SchedulerSettings(
                List.of(Scene.look()),
                List.of(new EngineKind(8, 16000)),
                new SchedulerSettings.FleetPosition(1, 0, 50, 7),
                Scene.limits(4),
                Scene.rules(),
                new SchedulerSettings.Reporting(List.of(), false),
                new SchedulerSettings.Discovery(false, 0, false),
                Scene.FREE,
                new SchedulerSettings.Quotas(List.of(), 1)));
        s.tell(new EndpointsChanged(true, list));
        for (int i = 0; i < 40; i++) {
            s.ask(i, 0).pass(200).verdict(i, 0, OK).pass(100);
        }
        s.ask(100, 0, 0, 2000, 5000);
        assertThat(s.sentTo()).as("a long request is sent while all is well").isPositive();
        s.verdict(100, 0, OK).pass(6000);
        for (int i = 200; i < 212; i++) {
            s.ask(i, 0);
        }
        s.pass(1000);
        for (int i = 200; i < 212; i++) {
            s.verdict(i, 0, OK);
        }
        s.pass(600).ask(300, 0, 0, 2000, 5000);
        assertThat(s.last(SchedulerAction.Reject.class))
                .as("it cannot meet its aim any more")
                .hasSize(1);
    }

    /** Half the engines refuse connections: trying them stays a small part of the traffic. */
    @DataProvider
    public Object[][] trialsStayAPartOfTheTrafficAtAnyNumberOfFrontsCases() {
        return new Object[][] {{1}, {50}, {300}};
    }

    @Test(dataProvider = "trialsStayAPartOfTheTrafficAtAnyNumberOfFrontsCases")
    public void trialsStayAPartOfTheTrafficAtAnyNumberOfFronts(int fronts) {
        int asked = 0;
        int toDead = 0;
        for (int i = 0; i < Math.min(fronts, 30); i++) {
            List<EngineKind> kinds = List.of(new EngineKind(8, 16000));
            Scene s = new Scene(new SchedulerSettings(
                    List.of(Scene.look()),
                    kinds,
                    new SchedulerSettings.FleetPosition(1, 0, fronts, i),
                    Scene.limits(4),
                    Scene.rules(),
                    new SchedulerSettings.Reporting(List.of(), false),
                    new SchedulerSettings.Discovery(false, 0, false),
                    Scene.FREE,
                    new SchedulerSettings.Quotas(List.of(), 1)));
            s.engines(1, 2, 3, 4, 5, 6, 7, 8);
            for (int id = 1; id <= 60; id++) {
                s.ask(id, 0);
                for (int attempt = 0; s.sentTo() > 0; attempt++) {
                    boolean dead = s.sentTo() > 4;
                    toDead += dead && id > 20 ? 1 : 0;
                    s.verdict(id, attempt, dead ? CONNECT_FAILED : OK);
                }
                asked += id > 20 ? 1 : 0;
                s.pass(400);
            }
        }
        assertThat(toDead).isPositive().isLessThanOrEqualTo(asked / 5);
    }
}
