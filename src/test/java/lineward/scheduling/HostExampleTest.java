package lineward.scheduling;

import static lineward.scheduling.AttemptOutcome.OK;
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

/** The README host program, with pretended engines that answer after 150 ms. */
public class HostExampleTest {
    private static AttemptEnded served(long request) {
        return new AttemptEnded(request, 0, OK, true, 0, 0, new double[0]);
    }

    private record Due(double at, SchedulerEvent event) {}

    @Test
    public void aHostDrivesTheModuleWithoutTheAdapter() {
        Scheduler front = new SpeculativeScheduler(Scene.settings(Scene.look()), 42);
        PriorityQueue<Due> due = new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
        due.add(new Due(0, new EndpointsChanged(true, List.of(Scene.engine(1), Scene.engine(2)))));
        for (int i = 0; i < 50; i++) {
            due.add(new Due(10 + i * 20, new RequestArrived(i, 0, 0, 5000, 150, 100, i % 5, false, 0)));
        }
        List<Long> served = new ArrayList<>();
        while (!due.isEmpty()) {
            Due next = due.poll();
            if (next.event() instanceof AttemptEnded v) {
                served.add(v.request());
            }
            for (SchedulerAction action : front.decide(next.at(), List.of(next.event()))) {
                if (action instanceof SchedulerAction.StartAttempt send) {
                    due.add(new Due(next.at() + 150, served(send.request())));
                } else if (action instanceof SchedulerAction.ScheduleTimer after) {
                    due.add(new Due(next.at() + after.delayMs(), new TimerFired(after.token())));
                }
            }
        }
        assertThat(served).hasSize(50).doesNotHaveDuplicates();
    }
}
