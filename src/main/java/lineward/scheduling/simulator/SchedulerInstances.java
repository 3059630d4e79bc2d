package lineward.scheduling.simulator;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lineward.scheduling.Scheduler;
import lineward.scheduling.SchedulerEvent;
import lineward.scheduling.execution.SpeculativeScheduler;

/** Runs the simulator's schedulers and passes each one its own events. They share no state. */
final class SchedulerInstances implements BatchReader.Sink {
    private final BatchReader reader = new BatchReader();
    private final ReplyWriter writer = new ReplyWriter();
    private final Map<Integer, Scheduler> schedulers = new LinkedHashMap<>();
    private final Map<Integer, List<SchedulerEvent>> eventsByInstance = new LinkedHashMap<>();
    private int selectedInstance;

    /** Processes a batch and returns the reply frame. */
    byte[] processBatch(int recordCount, ByteBuffer body) {
        eventsByInstance.clear();
        writer.clear();
        if (body.limit() < Double.BYTES) {
            throw new InputException("frame of " + body.limit() + " bytes is too short for the clock");
        }
        double nowMs = body.getDouble(0);
        reader.read(recordCount, body, this);
        eventsByInstance.forEach((instance, events) -> decide(instance, events, nowMs));
        return writer.frame();
    }

    private void decide(int instance, List<SchedulerEvent> events, double nowMs) {
        Scheduler scheduler = schedulers.get(instance);
        if (scheduler == null) {
            return;
        }
        writer.selectInstance(instance);
        try {
            writer.write(scheduler.decide(nowMs, events));
        } catch (RuntimeException e) {
            e.printStackTrace();
            StackTraceElement[] trace = e.getStackTrace();
            writer.instanceCrashed(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    @Override
    public void selectInstance(int instance) {
        selectedInstance = instance;
    }

    @Override
    public void openInstance(long seed, String settings) {
        schedulers.put(selectedInstance, new SpeculativeScheduler(SettingsReader.read(settings), seed));
        eventsByInstance.put(selectedInstance, new ArrayList<>());
    }

    /** Removes the instance, and its events that came earlier in the batch. */
    @Override
    public void killInstance() {
        schedulers.remove(selectedInstance);
        eventsByInstance.remove(selectedInstance);
    }

    @Override
    public void add(SchedulerEvent event) {
        if (schedulers.containsKey(selectedInstance)) {
            eventsByInstance
                    .computeIfAbsent(selectedInstance, k -> new ArrayList<>())
                    .add(event);
        }
    }
}
