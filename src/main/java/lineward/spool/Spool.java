package lineward.spool;

import java.io.IOException;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import lineward.spool.store.Manifest;
import lineward.spool.store.Segment;
import lineward.spool.store.SegmentStore;
import lineward.spool.store.SpoolFolder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** All spooled results of one front end, managed by a {@link SpoolPolicy}. Confined to the event loop. */
public final class Spool implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Spool.class);
    /** Number of bytes waiting to be written at which no engine is read until writes have ended. */
    private static final long MAX_PENDING_WRITE_BYTES = 4L << 20;

    private record ResultKey(String user, String key) {
        static ResultKey of(ResultDescription description) {
            return new ResultKey(description.user(), description.key());
        }
    }

    private final SpoolPolicy policy;
    /** Null if results are stored in memory only. */
    private final SegmentStore store;

    private final DoubleSupplier clock;
    /** Bounded by admission, which rejects statements at {@link SpoolLimits#results}. */
    private final Map<Long, SpooledResult> results = new HashMap<>();

    private final Map<ResultKey, SpooledResult> resultsByKey = new HashMap<>();
    private long pendingWriteBytes;
    private boolean lastWriteFailed;

    /**
     * Creates an empty spool.
     *
     * @param store null if results are stored in memory only
     * @param clock in milliseconds, monotonic
     */
    public Spool(SpoolLimits limits, SegmentStore store, DoubleSupplier clock) {
        this.policy = new SpoolPolicy(store == null ? limits.withoutFiles() : limits);
        this.store = store;
        this.clock = clock;
    }

    /** Adds the complete results of an earlier process; of two with the same key, the newer one is kept. */
    public void restore(SpoolFolder.Contents contents) {
        contents.complete().stream()
                .sorted(Comparator.comparingLong(stored -> stored.manifest().createdMs()))
                .forEach(this::restore);
        LOG.info(
                "spool recovered: results={} unusable={}",
                resultsByKey.size(),
                contents.unusable().size());
        contents.unusable()
                .forEach(segment -> LOG.info(
                        "spool segment not usable: file={} cause={}",
                        segment.path().getFileName(),
                        segment.reason()));
    }

    private void restore(Segment.Result stored) {
        Manifest manifest = stored.manifest();
        releaseExisting(manifest.user(), manifest.key());
        long id = policy.restore(manifest.user(), stored.fileBytes(), now());
        String digest = manifest.statement();
        ResultDescription description = new ResultDescription(manifest.user(), manifest.key(), digest);
        SpooledResult result = SpooledResult.restore(this, id, description, stored);
        results.put(id, result);
        resultsByKey.put(ResultKey.of(description), result);
    }

    /** Admits a user's statement, or rejects it before it runs. */
    public SpoolPolicy.Admission admit(String user) {
        return policy.admit(user, now());
    }

    /**
     * Begins a result, after releasing others that are not in use if capacity is short.
     *
     * @param key under which the client may request the result again; empty if it has none
     * @param digest digest of the statement and its arguments
     */
    public SpooledResult begin(String user, String key, String digest) {
        reclaimFor(user);
        ResultDescription description = new ResultDescription(user, key, digest);
        long id = policy.begin(user, description.isKeyed(), now());
        SpooledResult result = SpooledResult.begin(this, id, description);
        results.put(id, result);
        if (description.isKeyed()) {
            // Requests with this key read the first result begun with it, even while it is incomplete.
            resultsByKey.putIfAbsent(ResultKey.of(description), result);
        }
        return result;
    }

    /** Returns a user's result by its key, or null; it may be incomplete, and is never another user's. */
    public SpooledResult find(String user, String key) {
        return resultsByKey.get(new ResultKey(user, key));
    }

    private void releaseExisting(String user, String key) {
        SpooledResult earlier = find(user, key);
        if (earlier != null) {
            earlier.release();
        }
    }

    /** Ends expired results and resumes reads from engines if possible; called ten times a second. */
    public void tick() {
        for (long id : policy.selectExpired(now())) {
            SpooledResult result = results.get(id);
            if (result != null) {
                result.expire();
            }
        }
        List.copyOf(results.values()).forEach(SpooledResult::notifyFlowListener);
    }

    /** Returns the current gauges and counters. */
    public SpoolPolicy.Statistics statistics() {
        return policy.statistics();
    }

    private void reclaimFor(String user) {
        OptionalLong next = policy.selectForReclaim(user);
        while (next.isPresent()) {
            results.get(next.getAsLong()).release();
            next = policy.selectForReclaim(user);
        }
    }

    double now() {
        return clock.getAsDouble();
    }

    SpoolPolicy policy() {
        return policy;
    }

    SegmentStore store() {
        return store;
    }

    boolean hasWriteCapacity() {
        return pendingWriteBytes < MAX_PENDING_WRITE_BYTES;
    }

    void writeStarted(long bytes) {
        pendingWriteBytes += bytes;
    }

    void writeEnded(long bytes) {
        pendingWriteBytes -= bytes;
    }

    /** Logs the first of consecutive failed writes and deletions; {@code failure} is null after a success. */
    void recordWriteOutcome(IOException failure) {
        if (failure != null && !lastWriteFailed) {
            LOG.warn("spool write or delete failed, blocks may stay in memory: cause={}", failure.toString());
        }
        lastWriteFailed = failure != null;
    }

    void remove(SpooledResult result) {
        results.remove(result.id());
        resultsByKey.remove(ResultKey.of(result.description()), result);
    }

    @Override
    public void close() throws IOException {
        if (store != null) {
            store.close();
        }
    }
}
