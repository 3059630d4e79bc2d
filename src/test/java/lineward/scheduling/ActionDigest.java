package lineward.scheduling;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A digest of a sequence of actions and other values. It covers numbers and fixed tags but no type names, so
 * renaming a type does not change it.
 */
public final class ActionDigest {
    private final MessageDigest sha256;
    private final ByteBuffer eightBytes = ByteBuffer.allocate(Long.BYTES);

    /** Creates an empty digest. */
    public ActionDigest() {
        try {
            sha256 = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Adds a tag, which identifies the type of what follows, and numbers. */
    public ActionDigest add(char tag, double... values) {
        sha256.update((byte) tag);
        for (double value : values) {
            eightBytes.clear();
            eightBytes.putDouble(value);
            sha256.update(eightBytes.array());
        }
        return this;
    }

    /** Adds a tag, the number of bytes, and the bytes. */
    public ActionDigest add(char tag, byte[] bytes) {
        add(tag, bytes.length);
        sha256.update(bytes);
        return this;
    }

    /** Adds one action of the scheduler. */
    public void add(SchedulerAction action) {
        if (action instanceof SchedulerAction.StartAttempt added) {
            double engine = added.engine();
            add('S', (double) added.requestId(), engine, added.timeoutMs(), added.startWithinMs());
        } else if (action instanceof SchedulerAction.CancelAttempt added) {
            add('C', (double) added.requestId(), added.attempt());
        } else if (action instanceof SchedulerAction.Reject added) {
            add('R', (double) added.requestId(), added.retryAfterMs());
        } else if (action instanceof SchedulerAction.Fail added) {
            add('F', (double) added.requestId());
        } else if (action instanceof SchedulerAction.SetResourceLimits added) {
            add('L', (double) added.requestId(), added.grantMb(), added.priority());
        } else if (action instanceof SchedulerAction.BroadcastGossip added) {
            add('A', added.payload());
        } else if (action instanceof SchedulerAction.StartHealthCheck added) {
            add('P', (double) added.engine());
        } else if (action instanceof SchedulerAction.ScheduleTimer added) {
            add('T', added.delayMs(), added.token());
        } else if (action instanceof SchedulerAction.WatchEndpoints) {
            add('W');
        } else if (action instanceof SchedulerAction.LogMessage) {
            add('O');
        } else {
            throw new IllegalArgumentException("no tag for " + action);
        }
    }

    /** Returns the first 16 hexadecimal digits of the digest. Call it last, as it resets the digest. */
    public String toHex() {
        return HexFormat.of().formatHex(sha256.digest()).substring(0, 16);
    }
}
