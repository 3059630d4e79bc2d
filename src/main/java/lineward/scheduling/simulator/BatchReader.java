package lineward.scheduling.simulator;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import lineward.scheduling.Endpoint;
import lineward.scheduling.EndpointState;
import lineward.scheduling.ProgressKind;
import lineward.scheduling.SchedulerEvent;

/** Decodes batches and passes their contents to a sink in order. Endpoint lists are kept across batches. */
final class BatchReader {
    private static final int CLOCK_BYTES = Double.BYTES;
    private static final int MAX_ENDPOINT_LISTS = 16;
    private static final int ENDPOINT_BYTES = 24;
    private static final int WORK_SHIFT = 12;
    private static final int MEMORY_MASK = 0xfff;
    private static final double MEMORY_UNIT_MB = 4;

    private static final int REQUEST_CANCELLED = 0x10;
    private static final int ATTEMPT_ENDED = 0x11;
    private static final int REQUEST_ARRIVED = 0x12;
    private static final int INSTANCE_OPENED = 0x13;
    private static final int INSTANCE_KILLED = 0x14;
    private static final int ATTEMPT_PROGRESS = 0x15;
    private static final int ENDPOINTS_CHANGED = 0x16;
    private static final int HEALTH_CHECK_COMPLETED = 0x17;
    private static final int INSTANCE_SELECTED = 0x18;
    private static final int RESPONSE_STARTED = 0x19;
    private static final int TIMER_FIRED = 0x1a;
    private static final int ENDPOINT_LIST = 0x1b;
    private static final int GOSSIP_RECEIVED = 0x1c;

    /** Receives the contents of a batch, record by record. */
    interface Sink {
        /** The records that follow belong to this instance. */
        void selectInstance(int instance);

        /** The selected instance is created. */
        void openInstance(long seed, String settings);

        /** The selected instance has been killed. */
        void killInstance();

        /** An event for the selected instance. */
        void add(SchedulerEvent event);
    }

    private final List<List<Endpoint>> endpointLists = new ArrayList<>();

    BatchReader() {
        endpointLists.addAll(Collections.nCopies(MAX_ENDPOINT_LISTS, null));
    }

    /**
     * Reads a batch.
     *
     * @param recordCount number of records in the batch
     * @param body the bytes after the length field: clock, records, tail
     */
    void read(int recordCount, ByteBuffer body, Sink sink) {
        long end = CLOCK_BYTES + (long) recordCount * EventRecord.LENGTH;
        if (recordCount < 0 || end > body.limit()) {
            long records = Integer.toUnsignedLong(recordCount);
            throw new InputException("batch of " + records + " records does not fit its frame");
        }
        ByteBuffer tail = body.slice((int) end, body.limit() - (int) end);
        boolean selected = false;
        for (int i = 0; i < recordCount; i++) {
            ByteBuffer slice = body.slice(CLOCK_BYTES + i * EventRecord.LENGTH, EventRecord.LENGTH);
            EventRecord entry = new EventRecord(slice);
            selected |= entry.code() == INSTANCE_SELECTED;
            if (!selected && entry.code() != ENDPOINT_LIST) {
                String code = "record with code " + entry.code();
                throw new InputException(code + " comes before any instance was selected");
            }
            read(entry, tail, sink);
        }
    }

    private void read(EventRecord entry, ByteBuffer tail, Sink sink) {
        switch (entry.code()) {
            case INSTANCE_SELECTED -> sink.selectInstance(entry.signedInt(1));
            case ENDPOINT_LIST -> readEndpointList(entry, tail);
            case INSTANCE_OPENED -> sink.openInstance(entry.signedLong(1), settingsText(entry, tail));
            case INSTANCE_KILLED -> sink.killInstance();
            case ENDPOINTS_CHANGED -> sink.add(endpointsChanged(entry));
            case REQUEST_ARRIVED -> sink.add(requestArrived(entry));
            case REQUEST_CANCELLED -> sink.add(new SchedulerEvent.RequestCancelled(entry.unsignedInt(1)));
            case RESPONSE_STARTED ->
                sink.add(new SchedulerEvent.ResponseStarted(entry.unsignedInt(1), entry.unsignedShort(19)));
            case ATTEMPT_PROGRESS -> readProgress(entry, sink);
            case ATTEMPT_ENDED -> sink.add(attemptEnded(entry));
            case HEALTH_CHECK_COMPLETED -> sink.add(healthCheckCompleted(entry));
            case TIMER_FIRED -> sink.add(new SchedulerEvent.TimerFired(entry.signedInt(1)));
            case GOSSIP_RECEIVED -> sink.add(gossipReceived(entry, tail));
            default -> throw new InputException("unknown event code " + entry.code());
        }
    }

    private static String settingsText(EventRecord entry, ByteBuffer tail) {
        ByteBuffer text = tailSlice(tail, entry.signedInt(9), entry.signedInt(13), 1);
        return StandardCharsets.UTF_8.decode(text).toString();
    }

    private static SchedulerEvent requestArrived(EventRecord entry) {
        int flags = entry.signedByte(42);
        boolean hasWorkEstimate = (flags & 1) != 0;
        boolean clientRetry = (flags & 2) != 0;
        return new SchedulerEvent.RequestArrived(
                entry.unsignedInt(1),
                entry.unsignedByte(5),
                entry.signedLong(10),
                entry.float64(18),
                hasWorkEstimate ? entry.float64(26) : 0,
                entry.float32(34),
                (int) entry.float32(38),
                clientRetry,
                entry.signedInt(6));
    }

    private static SchedulerEvent attemptEnded(EventRecord entry) {
        long packedUsage = entry.unsignedInt(24);
        double workMs = packedUsage >>> WORK_SHIFT;
        double memoryMb = (packedUsage & MEMORY_MASK) * MEMORY_UNIT_MB;
        boolean requestCompleted = entry.signedByte(23) != 0;
        return new SchedulerEvent.AttemptEnded(
                entry.unsignedInt(1),
                entry.unsignedShort(5),
                entry.outcome(13),
                requestCompleted,
                workMs,
                memoryMb,
                entry.loadReport(28));
    }

    private static SchedulerEvent healthCheckCompleted(EventRecord entry) {
        return new SchedulerEvent.HealthCheckCompleted(
                entry.engineNumber(1), entry.outcome(7), entry.float64(9), entry.loadReport(17));
    }

    private static SchedulerEvent gossipReceived(EventRecord entry, ByteBuffer tail) {
        ByteBuffer slice = tailSlice(tail, entry.signedInt(5), entry.signedInt(9), 1);
        byte[] payload = new byte[slice.remaining()];
        slice.get(payload);
        return new SchedulerEvent.GossipReceived(entry.signedInt(1), payload);
    }

    /** Progress of an unknown kind is ignored. */
    private static void readProgress(EventRecord entry, Sink sink) {
        double amount = entry.float32(14);
        ProgressKind kind = switch (entry.signedByte(13)) {
            case 1 -> ProgressKind.RATIO_DONE;
            case 2 -> ProgressKind.SPILLING;
            case 3 -> amount == 2 ? ProgressKind.WAITING_FOR_LOAD : ProgressKind.WAITING_FOR_MEMORY;
            default -> null;
        };
        if (kind != null) {
            long requestId = entry.unsignedInt(1);
            sink.add(new SchedulerEvent.AttemptProgress(requestId, entry.unsignedShort(11), kind, amount));
        }
    }

    private SchedulerEvent endpointsChanged(EventRecord entry) {
        int mode = entry.signedByte(1);
        if (mode < 0 || mode > 3) {
            throw new InputException("unknown endpoint list mode " + mode);
        }
        if (mode == 3) {
            return new SchedulerEvent.DiscoveryFailed();
        }
        int listNumber = entry.unsignedShort(6);
        if (listNumber >= MAX_ENDPOINT_LISTS || endpointLists.get(listNumber) == null) {
            throw new InputException("no endpoint list with number " + listNumber);
        }
        boolean fullSnapshot = mode != 2;
        return new SchedulerEvent.EndpointsChanged(fullSnapshot, endpointLists.get(listNumber));
    }

    private void readEndpointList(EventRecord entry, ByteBuffer tail) {
        int listNumber = entry.unsignedShort(1);
        int endpointCount = entry.signedInt(7);
        if (listNumber >= MAX_ENDPOINT_LISTS) {
            throw new InputException("endpoint list number " + listNumber + " is out of range");
        }
        ByteBuffer slice = tailSlice(tail, entry.signedInt(3), endpointCount, ENDPOINT_BYTES);
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < endpointCount; i++) {
            list.add(endpoint(new EventRecord(slice.slice(i * ENDPOINT_BYTES, ENDPOINT_BYTES))));
        }
        endpointLists.set(listNumber, List.copyOf(list));
    }

    private static Endpoint endpoint(EventRecord entry) {
        int kind = entry.unsignedShort(0);
        double weight = entry.float32(2);
        double startedAtMs = entry.float64(12);
        int zone = entry.unsignedByte(21);
        int cell = entry.unsignedShort(22);
        EndpointState state = state(entry.signedByte(20));
        return new Endpoint(entry.engineNumber(6), kind, weight, startedAtMs, state, zone, cell);
    }

    private static EndpointState state(byte code) {
        return switch (code) {
            case 0 -> EndpointState.GONE;
            case 2 -> EndpointState.READY;
            case 3 -> EndpointState.DRAINING;
            default -> throw new InputException("unknown engine state " + code);
        };
    }

    private static ByteBuffer tailSlice(ByteBuffer tail, int offset, int count, int elementBytes) {
        if (offset < 0 || count < 0 || offset + (long) count * elementBytes > tail.limit()) {
            throw new InputException("a record refers to data past the end of its frame");
        }
        return tail.slice(offset, count * elementBytes);
    }
}
