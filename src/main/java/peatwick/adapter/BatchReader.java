package peatwick.adapter;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import peatwick.Front;

/** Reads one batch and tells a sink, in order, what it holds. The sheets outlive a batch. */
final class BatchReader {
    private static final int RECORD = 48;
    private static final int ENTRY = 24;
    private static final int SHEETS = 16;
    private static final int HEAD = 8;

    /** What a batch says, record by record. */
    interface Sink {
        void turn(int instance);

        void open(long seed, String settings);

        void killed();

        void event(Front.Event event);
    }

    private final List<List<Front.Listed>> sheets = new ArrayList<>();

    BatchReader() {
        for (int i = 0; i < SHEETS; i++) {
            sheets.add(null);
        }
    }

    /** @param body what follows the length field: clock, records, tail */
    void read(int count, ByteBuffer body, Sink sink) {
        long end = HEAD + (long) count * RECORD;
        if (count < 0 || end > body.limit()) {
            throw new WireException("batch of " + (count & 0xffffffffL) + " records does not fit its length");
        }
        ByteBuffer tail = body.slice((int) end, body.limit() - (int) end);
        boolean turn = false;
        for (int i = 0; i < count; i++) {
            ByteBuffer r = body.slice(HEAD + i * RECORD, RECORD);
            int code = r.get(0) & 0xff;
            if (code == 0x18) {
                sink.turn(r.getInt(1));
                turn = true;
            } else if (code == 0x1b) {
                sheet(r, tail);
            } else if (!turn) {
                throw new WireException("record with code " + code + " stands before any instance was named");
            } else {
                record(code, r, tail, sink);
            }
        }
    }

    private void record(int code, ByteBuffer r, ByteBuffer tail, Sink sink) {
        switch (code) {
            case 0x13 ->
                sink.open(
                        r.getLong(1),
                        StandardCharsets.UTF_8
                                .decode(part(tail, r.getInt(9), r.getInt(13), 1))
                                .toString());
            case 0x14 -> sink.killed();
            case 0x16 -> sink.event(targets(r));
            case 0x12 -> {
                int bits = r.get(42);
                sink.event(new Front.Arrival(
                        id(r, 1),
                        r.get(5) & 0xff,
                        r.getLong(10),
                        r.getDouble(18),
                        (bits & 1) != 0 ? r.getDouble(26) : 0,
                        r.getFloat(34),
                        (int) r.getFloat(38),
                        (bits & 2) != 0,
                        r.getInt(6)));
            }
            case 0x19 -> sink.event(new Front.Opened(id(r, 1), r.getShort(19) & 0xffff));
            case 0x15 -> note(r, sink);
            case 0x11 -> {
                long told = r.getInt(24) & 0xffffffffL;
                sink.event(new Front.Verdict(
                        id(r, 1),
                        r.getShort(5) & 0xffff,
                        outcome(r.getShort(13)),
                        r.get(23) != 0,
                        told >>> 12,
                        (told & 0xfff) * 4.0,
                        report(r, 28)));
            }
            case 0x10 -> sink.event(new Front.Aborted(id(r, 1)));
            case 0x17 ->
                sink.event(new Front.Probed(engine(r, 1), outcome(r.getShort(7)), r.getDouble(9), report(r, 17)));
            case 0x1a -> sink.event(new Front.Wake(r.getInt(1)));
            case 0x1c -> {
                ByteBuffer told = part(tail, r.getInt(5), r.getInt(9), 1);
                byte[] octets = new byte[told.remaining()];
                told.get(octets);
                sink.event(new Front.PeerSays(r.getInt(1), octets));
            }
            default -> throw new WireException("unknown event code " + code);
        }
    }

    private static void note(ByteBuffer r, Sink sink) {
        double amount = r.getFloat(14);
        Front.NoteKind kind = switch (r.get(13)) {
            case 1 -> Front.NoteKind.PROGRESS;
            case 2 -> Front.NoteKind.SPILLS;
            case 3 -> amount == 2 ? Front.NoteKind.WAITS_FOR_LOAD : Front.NoteKind.WAITS_FOR_MEMORY;
            default -> null;
        };
        if (kind != null) {
            sink.event(new Front.Note(id(r, 1), r.getShort(11) & 0xffff, kind, amount));
        }
    }

    private Front.Event targets(ByteBuffer r) {
        int mode = r.get(1);
        if (mode == 3) {
            return new Front.ListFailed();
        }
        if (mode < 0 || mode > 3) {
            throw new WireException("unknown mode of a list: " + mode);
        }
        int place = r.getShort(6) & 0xffff;
        if (place >= SHEETS || sheets.get(place) == null) {
            throw new WireException("no sheet with number " + place);
        }
        return new Front.ListChange(mode != 2, sheets.get(place));
    }

    private void sheet(ByteBuffer r, ByteBuffer tail) {
        int place = r.getShort(1) & 0xffff;
        int entries = r.getInt(7);
        if (place >= SHEETS) {
            throw new WireException("sheet number " + place + " is out of range");
        }
        ByteBuffer b = part(tail, r.getInt(3), entries, ENTRY);
        List<Front.Listed> list = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            int at = i * ENTRY;
            Front.Condition condition = switch (b.get(at + 20)) {
                case 2 -> Front.Condition.READY;
                case 3 -> Front.Condition.DRAINING;
                case 0 -> Front.Condition.GONE;
                default -> throw new WireException("unknown condition of an engine: " + b.get(at + 20));
            };
            list.add(new Front.Listed(
                    engine(b, at + 6),
                    b.getShort(at) & 0xffff,
                    b.getFloat(at + 2),
                    b.getDouble(at + 12),
                    condition,
                    b.get(at + 21) & 0xff,
                    b.getShort(at + 22) & 0xffff));
        }
        sheets.set(place, List.copyOf(list));
    }

    private static ByteBuffer part(ByteBuffer tail, int from, int length, int size) {
        if (from < 0 || length < 0 || from + (long) length * size > tail.limit()) {
            throw new WireException("a record points past the end of its frame");
        }
        return tail.slice(from, length * size);
    }

    private static Front.Outcome outcome(int code) {
        return switch (code) {
            case 200 -> Front.Outcome.OK;
            case 500 -> Front.Outcome.ERROR;
            case 503 -> Front.Outcome.FULL;
            case 504 -> Front.Outcome.TIMEOUT;
            case 502 -> Front.Outcome.CONNECT_FAILED;
            case 598 -> Front.Outcome.RESET;
            case 499 -> Front.Outcome.CANCELLED;
            case 410 -> Front.Outcome.MOOT;
            default -> throw new WireException("unknown outcome " + code);
        };
    }

    private static double[] report(ByteBuffer r, int at) {
        double[] values = new double[Math.max(0, Math.min(4, r.get(at)))];
        for (int i = 0; i < values.length; i++) {
            values[i] = r.getFloat(at + 1 + 4 * i);
        }
        return values;
    }

    private static long id(ByteBuffer r, int at) {
        return r.getInt(at) & 0xffffffffL;
    }

    private static long engine(ByteBuffer r, int at) {
        return (r.getInt(at) & 0xffffffffL) << 16 | r.getShort(at + 4) & 0xffffL;
    }
}
