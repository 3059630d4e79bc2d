package lineward.spool;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides on what the spool holds. Free of I/O; times are milliseconds of one monotonic clock. It books bytes
 * by result, user and place, and every byte booked is given back by {@link #release} or {@link #consumed}.
 *
 * <p>Order under pressure: lapsed results first, then whole results with a key that nobody reads, the one
 * untouched longest first; what a reader is owed is never given back while it reads.
 */
public final class SpoolPolicy {
    /** Above this part of all room nothing new is admitted, so that what is admitted can end. */
    static final double ADMIT_BELOW = 0.9;
    /** One result may take this part of the memory; the rest of it goes to files. */
    static final double MEMORY_PART = 0.25;
    /** After a failed write files are left alone for so long. */
    static final double FILE_PAUSE_MS = 5000;
    /** A result of which the engine has to be slowed down for so long without a byte read is ended. */
    static final double STALL_MS = 20_000;

    private static final long SHORTEST_RETURN_MS = 100;
    private static final long LONGEST_RETURN_MS = 2000;
    private static final double WORD_PER_MB_MS = 20;

    /** Where a block goes. */
    public enum Place {
        /** It is held in memory. */
        MEMORY,
        /** It is written to the result's file. */
        FILE,
        /** There is no room: it is held all the same, but the engine is not read until the reader is on. */
        SLOW
    }

    /** Whether a statement whose result may be spooled is let in. */
    public sealed interface Admission {}

    /** It is let in. */
    public record Admitted() implements Admission {}

    /** Refused before it runs. @param retryAfterMs when there should be room again */
    public record Turned(long retryAfterMs) implements Admission {}

    /** What the figures show. */
    public record Figures(
            long heldBytes,
            long filedBytes,
            int results,
            int readers,
            long returned,
            long lapsed,
            long refused,
            long slowed) {}

    private static final class Entry {
        final String user;
        final boolean keyed;
        boolean complete;
        int readers;
        long memory;
        long filed;
        boolean file;
        double touched;
        double slowSince = Double.NaN;

        Entry(String user, boolean keyed, double now) {
            this.user = user;
            this.keyed = keyed;
            this.touched = now;
        }

        long bytes() {
            return memory + filed;
        }
    }

    private final SpoolLimits limits;
    private final Map<Long, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Long> byUser = new HashMap<>();
    private long lastId;
    private long memory;
    private long filed;
    private int files;
    private double filesAgainAt = Double.NEGATIVE_INFINITY;
    private long returned;
    private long lapsed;
    private long refused;
    private long slowed;
    /** Bytes a millisecond that have lately been given back, for the advice on when to return. */
    private double returnRate;

    private double ratedAt = Double.NaN;

    /** @param limits the bounds */
    public SpoolPolicy(SpoolLimits limits) {
        this.limits = limits;
    }

    /** Lets a user's statement in, or refuses it before it runs. */
    public Admission admit(String user, double now) {
        boolean full = limits.fileBytes() > 0 && now >= filesAgainAt
                ? memory + filed > ADMIT_BELOW * (limits.memoryBytes() + limits.fileBytes())
                : memory > ADMIT_BELOW * limits.memoryBytes();
        boolean greedy = byUser.getOrDefault(user, 0L) > ADMIT_BELOW * limits.userBytes();
        if (!full && !greedy && entries.size() < limits.results() || reclaimable(user, greedy)) {
            return new Admitted();
        }
        refused++;
        double need = Math.max(1, (1 - ADMIT_BELOW) * limits.memoryBytes());
        double wait = returnRate > 0 ? need / returnRate : need / (1 << 20) * WORD_PER_MB_MS;
        return new Turned(Math.min(LONGEST_RETURN_MS, Math.max(SHORTEST_RETURN_MS, Math.round(wait))));
    }

    private boolean reclaimable(String user, boolean ofUser) {
        return entries.values().stream().anyMatch(e -> isSpare(e) && (!ofUser || e.user.equals(user)));
    }

    private static boolean isSpare(Entry e) {
        return e.keyed && e.complete && e.readers == 0;
    }

    /** Returns the number of a new result. */
    public long begin(String user, boolean keyed, double now) {
        entries.put(++lastId, new Entry(user, keyed, now));
        return lastId;
    }

    /** Books a result that was found on file at the start. @return its number */
    public long restore(String user, long bytes, double now) {
        long id = begin(user, true, now);
        Entry e = entries.get(id);
        e.complete = true;
        e.file = true;
        files++;
        filed(e, bytes);
        return id;
    }

    /**
     * Decides where a block of a result goes and books it there; a block on file is booked as large as it is
     * until {@link #stored} tells what it takes.
     */
    public Place place(long id, long bytes, double now) {
        Entry e = entries.get(id);
        boolean grows = e.bytes() + bytes <= limits.resultBytes()
                && byUser.getOrDefault(e.user, 0L) + bytes <= limits.userBytes();
        // Without files a result may have all of the memory that is free.
        boolean fits = grows
                && memory + bytes <= limits.memoryBytes()
                && (limits.fileBytes() == 0 || e.memory + bytes <= MEMORY_PART * limits.memoryBytes());
        boolean onFile = grows
                && now >= filesAgainAt
                && filed + bytes <= limits.fileBytes()
                && (e.file || files < limits.files());
        // What has a key is to outlive the process.
        if (onFile && (e.keyed || !fits)) {
            if (!e.file) {
                e.file = true;
                files++;
            }
            filed(e, bytes);
            e.slowSince = Double.NaN;
            return Place.FILE;
        }
        held(e, bytes);
        if (fits) {
            e.slowSince = Double.NaN;
            return Place.MEMORY;
        }
        if (Double.isNaN(e.slowSince)) {
            slowed++;
            e.slowSince = now;
        }
        return Place.SLOW;
    }

    /** A block has been written: it takes that much in the place of what was booked. */
    public void stored(long id, long booked, long takes) {
        Entry e = entries.get(id);
        if (e != null) {
            filed(e, takes - booked);
        }
    }

    /** A write failed: its block is held in memory after all, and files are left alone for a while. */
    public void writeFailed(long id, long booked, double now) {
        filesAgainAt = now + FILE_PAUSE_MS;
        Entry e = entries.get(id);
        if (e != null) {
            filed(e, -booked);
            held(e, booked);
        }
    }

    /** Returns whether the engine may be read on: what is held of this result leaves room for more. */
    public boolean mayGrow(long id) {
        Entry e = entries.get(id);
        return e != null
                && (Double.isNaN(e.slowSince)
                        || e.memory == 0
                        || memory <= limits.memoryBytes() / 2
                                && e.bytes() <= limits.resultBytes() / 2
                                && byUser.getOrDefault(e.user, 0L) <= limits.userBytes() / 2);
    }

    /**
     * @param bytes taken of the result so far
     * @param ageMs of the attempt
     * @param patienceMs that it has in all
     * @return whether the first row goes out now, though the result is not whole
     */
    public boolean opens(long id, long bytes, double ageMs, double patienceMs) {
        Entry e = entries.get(id);
        return bytes > limits.holdBytes()
                || ageMs > limits.holdPart() * patienceMs
                || e != null && !Double.isNaN(e.slowSince);
    }

    /** The result is whole. */
    public void complete(long id, double now) {
        Entry e = entries.get(id);
        e.complete = true;
        e.slowSince = Double.NaN;
        e.touched = now;
    }

    /** A reader has come. */
    public void opened(long id, double now) {
        Entry e = entries.get(id);
        e.readers++;
        e.touched = now;
    }

    /** A reader has taken something: its lease begins anew. */
    public void read(long id, double now) {
        Entry e = entries.get(id);
        if (e != null) {
            e.touched = now;
            if (!Double.isNaN(e.slowSince)) {
                e.slowSince = now;
            }
        }
    }

    /** A reader has left. @return whether nothing is owed any more, so that the result is to be released */
    public boolean closed(long id, double now) {
        Entry e = entries.get(id);
        if (e == null) {
            return false;
        }
        e.readers--;
        e.touched = now;
        return e.readers <= 0 && !(e.keyed && e.complete);
    }

    /** A block that was held in memory has been read and is not needed again. */
    public void consumed(long id, long bytes, double now) {
        Entry e = entries.get(id);
        if (e != null) {
            held(e, -bytes);
            rate(bytes, now);
        }
    }

    /** The result is gone, with all that it held. */
    public void release(long id, double now) {
        Entry e = entries.remove(id);
        if (e != null) {
            returned++;
            rate(e.bytes(), now);
            held(e, -e.memory);
            filed(e, -e.filed);
            files -= e.file ? 1 : 0;
        }
    }

    /** Returns results whose lease has lapsed, or that are stalled: they are to be ended and released. */
    public List<Long> lapsed(double now) {
        List<Long> due = new ArrayList<>();
        entries.forEach((id, e) -> {
            boolean idle = now - e.touched > (e.keyed && e.readers == 0 ? limits.keyLeaseMs() : limits.leaseMs());
            boolean stalled = !Double.isNaN(e.slowSince) && now - e.slowSince > STALL_MS;
            if (idle && (e.complete || e.readers > 0) || stalled) {
                due.add(id);
            }
        });
        lapsed += due.size();
        return due;
    }

    /** Returns results to be given back now because room is short, least missed first. */
    public List<Long> pressed(String user) {
        boolean all = memory + filed > ADMIT_BELOW * (limits.memoryBytes() + limits.fileBytes())
                || files >= limits.files() && limits.files() > 0
                || entries.size() >= limits.results();
        boolean own = byUser.getOrDefault(user, 0L) > ADMIT_BELOW * limits.userBytes();
        if (!all && !own) {
            return List.of();
        }
        return entries.entrySet().stream()
                .filter(e -> isSpare(e.getValue()) && (all || e.getValue().user.equals(user)))
                .min(Comparator.comparingDouble(e -> e.getValue().touched))
                .map(e -> List.of(e.getKey()))
                .orElse(List.of());
    }

    /** Returns the figures as they stand. */
    public Figures figures() {
        return new Figures(
                memory,
                filed,
                entries.size(),
                entries.values().stream().mapToInt(e -> e.readers).sum(),
                returned,
                lapsed,
                refused,
                slowed);
    }

    private void held(Entry e, long bytes) {
        e.memory += bytes;
        memory += bytes;
        ofUser(e, bytes);
    }

    private void filed(Entry e, long bytes) {
        e.filed += bytes;
        filed += bytes;
        ofUser(e, bytes);
    }

    private void ofUser(Entry e, long bytes) {
        byUser.merge(e.user, bytes, Long::sum);
        byUser.remove(e.user, 0L);
    }

    /** A rate that forgets: each return weighs half as much a second later. */
    private void rate(long bytes, double now) {
        double since = Double.isNaN(ratedAt) ? 0 : now - ratedAt;
        returnRate = returnRate * Math.pow(2, -since / 1000) + bytes * Math.log(2) / 1000;
        ratedAt = now;
    }
}
