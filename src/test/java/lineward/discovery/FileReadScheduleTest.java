package lineward.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import lineward.discovery.FileReadSchedule.State;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the state transitions of file reads, and when the next read is due. */
public class FileReadScheduleTest {
    private static final double NOT_FAILING = Double.POSITIVE_INFINITY;

    private enum Event {
        RELOAD,
        BEGIN,
        SUCCEED,
        FAIL;

        void applyTo(FileReadSchedule schedule) {
            switch (this) {
                case RELOAD -> schedule.requestReload(100);
                case BEGIN -> schedule.beginRead();
                case SUCCEED -> schedule.readSucceeded(100, false);
                case FAIL -> schedule.readFailed(100, false);
            }
        }
    }

    private static FileReadSchedule scheduleIn(State state) {
        FileReadSchedule schedule = new FileReadSchedule();
        if (state != State.IDLE) {
            schedule.beginRead();
        }
        if (state == State.READING_STALE) {
            schedule.requestReload(0);
        }
        return schedule;
    }

    @DataProvider
    public Object[][] transitions() {
        return new Object[][] {
            {State.IDLE, Event.RELOAD, State.IDLE},
            {State.IDLE, Event.BEGIN, State.READING},
            {State.IDLE, Event.SUCCEED, null},
            {State.IDLE, Event.FAIL, null},
            {State.READING, Event.RELOAD, State.READING_STALE},
            {State.READING, Event.BEGIN, null},
            {State.READING, Event.SUCCEED, State.IDLE},
            {State.READING, Event.FAIL, State.IDLE},
            {State.READING_STALE, Event.RELOAD, State.READING_STALE},
            {State.READING_STALE, Event.BEGIN, null},
            {State.READING_STALE, Event.SUCCEED, State.IDLE},
            {State.READING_STALE, Event.FAIL, State.IDLE}
        };
    }

    /** If the state after the event is null, the transition is invalid. */
    @Test(dataProvider = "transitions")
    public void eachEventLeadsToTheNextState(State before, Event event, State after) {
        FileReadSchedule schedule = scheduleIn(before);
        if (after == null) {
            assertThrows(IllegalStateException.class, () -> event.applyTo(schedule));
            assertEquals(schedule.state(), before);
        } else {
            event.applyTo(schedule);
            assertEquals(schedule.state(), after);
        }
    }

    private static void assertNextReadAt(FileReadSchedule schedule, double dueAtMs, double failingSinceMs) {
        assertFalse(schedule.isReadDue(dueAtMs - 1, failingSinceMs));
        assertTrue(schedule.isReadDue(dueAtMs, failingSinceMs));
    }

    @Test
    public void aReloadDuringAReadCausesAnotherRead() {
        FileReadSchedule schedule = scheduleIn(State.READING_STALE);
        schedule.readSucceeded(100, false);
        assertNextReadAt(schedule, 100, NOT_FAILING);
    }

    @Test
    public void retriesAfterAReloadAreFrequentAtFirst() {
        FileReadSchedule schedule = new FileReadSchedule();
        schedule.requestReload(0);
        schedule.beginRead();
        schedule.readFailed(10, false);
        assertNextReadAt(schedule, 10 + FileReadSchedule.SHORT_RETRY_INTERVAL_MS, NOT_FAILING);
        schedule.beginRead();
        schedule.readFailed(FileReadSchedule.SHORT_RETRY_PERIOD_MS, false);
        double dueAtMs = FileReadSchedule.SHORT_RETRY_PERIOD_MS + FileReadSchedule.LONG_RETRY_INTERVAL_MS;
        assertNextReadAt(schedule, dueAtMs, NOT_FAILING);
    }

    @Test
    public void readsAreScheduledWhileTheServiceFails() {
        FileReadSchedule schedule = new FileReadSchedule();
        assertFalse(schedule.isReadDue(1e9, NOT_FAILING));
        assertNextReadAt(schedule, 300 + FileReadSchedule.FAULT_READ_INTERVAL_MS, 300);
        schedule.beginRead();
        schedule.readSucceeded(600, true);
        assertNextReadAt(schedule, 600 + FileReadSchedule.FAULT_READ_INTERVAL_MS, 300);
    }
}
