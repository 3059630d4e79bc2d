package peatwick.adapter;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import peatwick.Control;
import peatwick.Front;

/** Hosts the instances of the decision module and hands each its own events. They share nothing. */
final class Instances implements BatchReader.Sink {
    private final BatchReader reader = new BatchReader();
    private final ReplyWriter writer = new ReplyWriter();
    private final Map<Integer, Front> fronts = new LinkedHashMap<>();
    private final Map<Integer, List<Front.Event>> batch = new LinkedHashMap<>();
    private int current;

    /** @return the reply frame to a batch */
    byte[] answer(int count, ByteBuffer body) {
        batch.clear();
        writer.clear();
        if (body.limit() < 8) {
            throw new WireException("frame of " + body.limit() + " bytes has no clock");
        }
        double now = body.getDouble(0);
        reader.read(count, body, this);
        for (Map.Entry<Integer, List<Front.Event>> turn : batch.entrySet()) {
            Front front = fronts.get(turn.getKey());
            if (front == null) {
                continue;
            }
            writer.onBehalf(turn.getKey());
            try {
                writer.write(front.decide(now, turn.getValue()));
            } catch (RuntimeException e) {
                StackTraceElement[] trace = e.getStackTrace();
                e.printStackTrace();
                writer.bailOut(e + (trace.length > 0 ? " at " + trace[0] : ""));
            }
        }
        return writer.frame();
    }

    @Override
    public void turn(int instance) {
        current = instance;
    }

    @Override
    public void open(long seed, String settings) {
        fronts.put(current, new Control(SettingsReader.read(settings), seed));
        batch.put(current, new ArrayList<>());
    }

    /** What was reported for an instance before it was killed is void with it. */
    @Override
    public void killed() {
        fronts.remove(current);
        batch.remove(current);
    }

    @Override
    public void event(Front.Event event) {
        if (fronts.containsKey(current)) {
            batch.computeIfAbsent(current, k -> new ArrayList<>()).add(event);
        }
    }
}
