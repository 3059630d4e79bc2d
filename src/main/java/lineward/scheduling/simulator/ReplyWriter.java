package lineward.scheduling.simulator;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import lineward.scheduling.SchedulerAction;

/** Encodes the actions of all instances as one reply frame. */
final class ReplyWriter implements SchedulerAction.Handler {
    private static final int RECORD_BYTES = 24;
    private static final int INITIAL_BYTES = 1 << 16;
    private static final int ALL_FRONT_ENDS = -1;

    private static final int START_ATTEMPT = 0x10;
    private static final int REJECT = 0x11;
    private static final int FAIL = 0x12;
    private static final int CANCEL_ATTEMPT = 0x13;
    private static final int SCHEDULE_TIMER = 0x14;
    private static final int START_HEALTH_CHECK = 0x15;
    private static final int BROADCAST_GOSSIP = 0x17;
    private static final int LOG_MESSAGE = 0x18;
    private static final int INSTANCE_CRASHED = 0x19;
    private static final int WATCH_ENDPOINTS = 0x1a;
    private static final int SET_RESOURCE_LIMITS = 0x1c;
    private static final int INSTANCE_SELECTED = 0x1d;

    private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
    private ByteBuffer records = ByteBuffer.allocate(INITIAL_BYTES);
    private int recordCount;

    void clear() {
        records.clear();
        tail.reset();
        recordCount = 0;
    }

    /** The actions that follow belong to this instance. */
    void selectInstance(int instance) {
        finishRecord(beginRecord(INSTANCE_SELECTED).putInt(instance));
    }

    /** The selected instance has failed with an exception. */
    void instanceCrashed(String reason) {
        writeText(INSTANCE_CRASHED, reason);
    }

    void write(List<SchedulerAction> actions) {
        actions.forEach(action -> action.dispatchTo(this));
    }

    @Override
    public void startAttempt(SchedulerAction.StartAttempt action) {
        ByteBuffer entry = beginRecord(START_ATTEMPT).putInt((int) action.requestId());
        finishRecord(putEngine(entry, action.engine()).putDouble(action.timeoutMs()));
    }

    @Override
    public void cancelAttempt(SchedulerAction.CancelAttempt action) {
        ByteBuffer entry = beginRecord(CANCEL_ATTEMPT).putInt((int) action.requestId());
        finishRecord(entry.putShort((short) action.attempt()));
    }

    @Override
    public void reject(SchedulerAction.Reject action) {
        finishRecord(beginRecord(REJECT).putInt((int) action.requestId()).putDouble(action.retryAfterMs()));
    }

    @Override
    public void fail(SchedulerAction.Fail action) {
        finishRecord(beginRecord(FAIL).putInt((int) action.requestId()));
    }

    @Override
    public void setResourceLimits(SchedulerAction.SetResourceLimits action) {
        ByteBuffer entry = beginRecord(SET_RESOURCE_LIMITS).putInt((int) action.requestId());
        finishRecord(entry.putFloat((float) action.grantMb()).put((byte) action.priority()));
    }

    @Override
    public void startHealthCheck(SchedulerAction.StartHealthCheck action) {
        finishRecord(putEngine(beginRecord(START_HEALTH_CHECK), action.engine()));
    }

    @Override
    public void broadcastGossip(SchedulerAction.BroadcastGossip action) {
        ByteBuffer entry = beginRecord(BROADCAST_GOSSIP).putInt(ALL_FRONT_ENDS).putInt(tail.size());
        finishRecord(entry.putInt(action.payload().length));
        tail.writeBytes(action.payload());
    }

    @Override
    public void scheduleTimer(SchedulerAction.ScheduleTimer action) {
        finishRecord(beginRecord(SCHEDULE_TIMER).putDouble(action.delayMs()).putInt(action.token()));
    }

    @Override
    public void watchEndpoints(SchedulerAction.WatchEndpoints action) {
        finishRecord(beginRecord(WATCH_ENDPOINTS).put((byte) 1));
    }

    @Override
    public void log(SchedulerAction.LogMessage action) {
        writeText(LOG_MESSAGE, action.text());
    }

    /** Returns the reply frame: number of records, length of the rest, records, tail. */
    byte[] frame() {
        int recordBytes = recordCount * RECORD_BYTES;
        int length = recordBytes + tail.size();
        ByteBuffer frame = ByteBuffer.allocate(2 * Integer.BYTES + length);
        frame.putInt(recordCount).putInt(length);
        frame.put(records.array(), 0, recordBytes).put(tail.toByteArray());
        return frame.array();
    }

    private static ByteBuffer putEngine(ByteBuffer entry, long engine) {
        return entry.putInt((int) (engine >>> Short.SIZE)).putShort((short) engine);
    }

    private void writeText(int code, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        finishRecord(beginRecord(code).putInt(tail.size()).putInt(bytes.length));
        tail.writeBytes(bytes);
    }

    private ByteBuffer beginRecord(int code) {
        if (records.remaining() < RECORD_BYTES) {
            records = ByteBuffer.allocate(records.capacity() * 2).put(records.flip());
        }
        return records.put((byte) code);
    }

    private void finishRecord(ByteBuffer entry) {
        recordCount++;
        while (entry.position() < recordCount * RECORD_BYTES) {
            entry.put((byte) 0);
        }
    }
}
