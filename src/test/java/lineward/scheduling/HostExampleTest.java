package lineward.scheduling;

import static lineward.scheduling.AttemptOutcome.OK;
import static lineward.scheduling.TestingScheduler.lookupClass;
import static lineward.scheduling.TestingScheduler.readyEngine;
import static lineward.scheduling.TestingScheduler.settings;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import lineward.scheduling.SchedulerEvent.AttemptEnded;
import lineward.scheduling.SchedulerEvent.EndpointsChanged;
import lineward.scheduling.SchedulerEvent.RequestArrived;
import lineward.scheduling.SchedulerEvent.TimerFired;
import lineward.scheduling.execution.SpeculativeScheduler;
import org.testng.annotations.Test;

/** Runs a scheduler in a minimal host program, with simulated engines that answer after 150 ms. */
public class HostExampleTest {
    private static AttemptEnded attemptSucceeded(long request) {
        return new AttemptEnded(request, 0, OK, true, 0, 0, new double[0]);
    }

    private record TimedEvent(double atMs, SchedulerEvent event) {}

    @Test
    public void hostProgramServesEachRequestOnce() {
        Scheduler scheduler = new SpeculativeScheduler(settings(lookupClass()), 42);
        PriorityQueue<TimedEvent> events = new PriorityQueue<>((a, b) -> Double.compare(a.atMs(), b.atMs()));
        events.add(new TimedEvent(0, new EndpointsChanged(true, List.of(readyEngine(1), readyEngine(2)))));
        for (int index = 0; index < 50; index++) {
            events.add(new TimedEvent(
                    10 + index * 20, new RequestArrived(index, 0, 0, 5000, 150, 100, index % 5, false, 0)));
        }
        List<Long> servedRequests = new ArrayList<>();
        while (!events.isEmpty()) {
            TimedEvent next = events.poll();
            if (next.event() instanceof AttemptEnded ended) {
                servedRequests.add(ended.requestId());
            }
            for (SchedulerAction action : scheduler.decide(next.atMs(), List.of(next.event()))) {
                if (action instanceof SchedulerAction.StartAttempt start) {
                    events.add(new TimedEvent(next.atMs() + 150, attemptSucceeded(start.requestId())));
                } else if (action instanceof SchedulerAction.ScheduleTimer timer) {
                    events.add(new TimedEvent(next.atMs() + timer.delayMs(), new TimerFired(timer.token())));
                }
            }
        }
        assertThat(servedRequests).hasSize(50).doesNotHaveDuplicates();
    }
}
