package lineward.scheduling;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A digest over a sequence of values. It sees numbers and fixed tags only, never names of types, so that it
 * outlives a renaming.
 */
public final class ActionDigest {
    private final MessageDigest sha256;
    private final ByteBuffer eightBytes = ByteBuffer.allocate(Long.BYTES);

    /** An empty digest. */
    public ActionDigest() {
        try {
            sha256 = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Takes in the tag of a kind of message and its numbers. */
    public ActionDigest add(char tag, double... values) {
        sha256.update((byte) tag);
        for (double value : values) {
            eightBytes.clear();
            eightBytes.putDouble(value);
            sha256.update(eightBytes.array());
        }
        return this;
    }

    /** Takes in bytes, their number first. */
    public ActionDigest add(char tag, byte[] bytes) {
        add(tag, bytes.length);
        sha256.update(bytes);
        return this;
    }

    /** Takes in one action of the decision module. */
    public void add(SchedulerAction action) {
        if (action instanceof SchedulerAction.StartAttempt a) {
            add('S', (double) a.request(), (double) a.engine(), a.timeoutMs(), a.startWithinMs());
        } else if (action instanceof SchedulerAction.CancelAttempt a) {
            add('C', (double) a.request(), a.attempt());
        } else if (action instanceof SchedulerAction.Reject a) {
            add('R', (double) a.request(), a.retryAfterMs());
        } else if (action instanceof SchedulerAction.Fail a) {
            add('F', (double) a.request());
        } else if (action instanceof SchedulerAction.SetResourceLimits a) {
            add('L', (double) a.request(), a.grantMb(), a.priority());
        } else if (action instanceof SchedulerAction.BroadcastGossip a) {
            add('A', a.payload());
        } else if (action instanceof SchedulerAction.StartHealthCheck a) {
            add('P', (double) a.engine());
        } else if (action instanceof SchedulerAction.ScheduleTimer a) {
            add('T', a.delayMs(), a.token());
        } else if (action instanceof SchedulerAction.WatchEndpoints) {
            add('W');
        } else if (action instanceof SchedulerAction.LogMessage) {
            add('O');
        } else {
            throw new IllegalArgumentException("no tag for " + action);
        }
    }

    /** The first 16 hexadecimal digits of the digest; nothing can be added after it. */
    public String toHex() {
        return HexFormat.of().formatHex(sha256.digest()).substring(0, 16);
    }
}
