package peatwick;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;

/** The README host program, with pretended engines that answer after 150 ms. */
class HostExampleTest {
    private record Due(double at, Front.Event event) {}

    @Test
    void aHostDrivesTheModuleWithoutTheAdapter() {
        Front front = new Control(Scene.settings(Scene.look()), 42);
        PriorityQueue<Due> due = new PriorityQueue<>((a, b) -> Double.compare(a.at(), b.at()));
        due.add(new Due(0, new Front.ListChange(true, List.of(Scene.engine(1), Scene.engine(2)))));
        for (int i = 0; i < 50; i++) {
            due.add(new Due(10 + i * 20, new Front.Arrival(i, 0, 0, 5000, 150, 100, i % 5, false, 0)));
        }
        List<Long> served = new ArrayList<>();
        while (!due.isEmpty()) {
            Due next = due.poll();
            if (next.event() instanceof Front.Verdict v) {
                served.add(v.request());
            }
            for (Front.Action action : front.decide(next.at(), List.of(next.event()))) {
                if (action instanceof Front.Send send) {
                    due.add(new Due(
                            next.at() + 150,
                            new Front.Verdict(send.request(), 0, Front.Outcome.OK, true, 0, 0, new double[0])));
                } else if (action instanceof Front.After after) {
                    due.add(new Due(next.at() + after.delay(), new Front.Wake(after.token())));
                }
            }
        }
        assertThat(served).hasSize(50).doesNotHaveDuplicates();
    }
}
