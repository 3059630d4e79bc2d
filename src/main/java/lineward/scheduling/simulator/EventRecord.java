package lineward.scheduling.simulator;

import java.nio.ByteBuffer;
import lineward.scheduling.AttemptOutcome;

/** One record of fixed length in a batch; data of variable length is in the tail of the batch. */
final class EventRecord {
    /** Length of a record in bytes. */
    static final int LENGTH = 48;

    private static final int MAX_REPORT_VALUES = 4;
    private static final int UNSIGNED_BYTE = 0xff;
    private static final int UNSIGNED_SHORT = 0xffff;

    private final ByteBuffer bytes;

    EventRecord(ByteBuffer bytes) {
        this.bytes = bytes;
    }

    int code() {
        return unsignedByte(0);
    }

    byte signedByte(int offset) {
        return bytes.get(offset);
    }

    int unsignedByte(int offset) {
        return bytes.get(offset) & UNSIGNED_BYTE;
    }

    int unsignedShort(int offset) {
        return bytes.getShort(offset) & UNSIGNED_SHORT;
    }

    int signedInt(int offset) {
        return bytes.getInt(offset);
    }

    long unsignedInt(int offset) {
        return Integer.toUnsignedLong(bytes.getInt(offset));
    }

    long signedLong(int offset) {
        return bytes.getLong(offset);
    }

    double float32(int offset) {
        return bytes.getFloat(offset);
    }

    double float64(int offset) {
        return bytes.getDouble(offset);
    }

    /** Reads an engine's number, an unsigned integer of six bytes. */
    long engineNumber(int offset) {
        return unsignedInt(offset) << Short.SIZE | unsignedShort(offset + Integer.BYTES);
    }

    /** Reads a load report: a byte with the number of values, then the values as floats. */
    double[] loadReport(int offset) {
        double[] values = new double[Math.max(0, Math.min(MAX_REPORT_VALUES, signedByte(offset)))];
        for (int i = 0; i < values.length; i++) {
            values[i] = float32(offset + 1 + Float.BYTES * i);
        }
        return values;
    }

    /** Reads the outcome of an attempt or a health check. */
    AttemptOutcome outcome(int offset) {
        int code = bytes.getShort(offset);
        return switch (code) {
            case 200 -> AttemptOutcome.OK;
            case 410 -> AttemptOutcome.NOT_STARTED;
            case 499 -> AttemptOutcome.CANCELLED;
            case 500 -> AttemptOutcome.ERROR;
            case 502 -> AttemptOutcome.CONNECT_FAILED;
            case 503 -> AttemptOutcome.REJECTED;
            case 504 -> AttemptOutcome.TIMEOUT;
            case 598 -> AttemptOutcome.RESET;
            default -> throw new InputException("unknown outcome " + code);
        };
    }
}
