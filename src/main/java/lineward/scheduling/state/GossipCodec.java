package lineward.scheduling.state;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import lineward.scheduling.LoadReportField;

/**
 * Encodes and decodes gossip messages. A message is a sequence of load reports, each of which consists of the
 * engine's id folded to two bytes and one byte per value. Reports are collected until the message is sent.
 */
final class GossipCodec {
    /** Maximum size of a message that the platform accepts. */
    static final int MAX_PAYLOAD_BYTES = 256;

    private static final int ID_BYTES = 2;
    private static final int MAX_BYTE = 255;

    /** The load report of one engine, with its values in the order of the settings. */
    @SuppressWarnings("ArrayRecordComponent") // instances are never compared
    record EngineReport(int gossipId, double[] values) {}

    private final double[] scales;
    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

    GossipCodec(List<LoadReportField> fields) {
        scales = fields.stream().mapToDouble(LoadReportField::gossipScale).toArray();
    }

    /** Returns the encoded size of one report. */
    int reportBytes() {
        return ID_BYTES + scales.length;
    }

    /** Returns whether the next message contains a report. */
    boolean hasPending() {
        return pending.size() > 0;
    }

    /** Returns whether the next message stays below its maximum size with one more report. */
    boolean hasCapacity() {
        return pending.size() < MAX_PAYLOAD_BYTES - reportBytes();
    }

    void collect(EngineReport report) {
        pending.write(report.gossipId() >> 8);
        pending.write(report.gossipId());
        for (int i = 0; i < scales.length; i++) {
            double value = i < report.values().length ? report.values()[i] * scales[i] : 0;
            pending.write((int) Math.max(0, Math.min(MAX_BYTE, Math.round(value))));
        }
    }

    /** Returns the message collected so far and starts a new one. */
    byte[] drainPending() {
        byte[] payload = pending.toByteArray();
        pending.reset();
        return payload;
    }

    /** Returns the reports of a message; an incomplete report at its end is ignored. */
    List<EngineReport> decode(byte[] payload) {
        List<EngineReport> reports = new ArrayList<>();
        for (int offset = 0; offset + reportBytes() <= payload.length; offset += reportBytes()) {
            double[] values = new double[scales.length];
            for (int i = 0; i < values.length; i++) {
                values[i] = Byte.toUnsignedInt(payload[offset + ID_BYTES + i]) / scales[i];
            }
            int gossipId = Byte.toUnsignedInt(payload[offset]) << 8 | Byte.toUnsignedInt(payload[offset + 1]);
            reports.add(new EngineReport(gossipId, values));
        }
        return reports;
    }
}
