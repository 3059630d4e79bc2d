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
    private static AttemptEnded served(long request) {
        return new AttemptEnded(request, 0, OK, true, 0, 0, new double[0]);
    }

    private record Due(double at, SchedulerEvent event) {}

    @Test
    public void hostDrivesTheSchedulerWithoutTheAdapter() {
        Scheduler frontEnd = new SpeculativeScheduler(settings(lookupClass()), 42);
        PriorityQueue<Due> due = new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
        due.add(new Due(0, new EndpointsChanged(true, List.of(readyEngine(1), readyEngine(2)))));
        for (int i = 0; i < 50; i++) {
            due.add(new Due(10 + i * 20, new RequestArrived(i, 0, 0, 5000, 150, 100, i % 5, false, 0)));
        }
        List<Long> served = new ArrayList<>();
        while (!due.isEmpty()) {
            Due next = due.poll();
            if (next.event() instanceof AttemptEnded ended) {
                served.add(ended.requestId());
            }
            for (SchedulerAction action : frontEnd.decide(next.at(), List.of(next.event()))) {
                if (action instanceof SchedulerAction.StartAttempt start) {
                    due.add(new Due(next.at() + 150, served(start.requestId())));
                } else if (action instanceof SchedulerAction.ScheduleTimer timer) {
                    due.add(new Due(next.at() + timer.delayMs(), new TimerFired(timer.token())));
                }
            }
        }
        assertThat(served).hasSize(50).doesNotHaveDuplicates();
    }
}
