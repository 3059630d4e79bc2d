package lineward.spool;

import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import lineward.spool.store.Manifest;
import lineward.spool.store.Segment;
import lineward.spool.store.SegmentStore;
import lineward.spool.store.SpoolFolder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** All spooled results of one front. Confined to the event loop; {@link SpoolPolicy} decides for it. */
public final class Spool implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(Spool.class);
    /** Blocks on their way to files, for all results together: past it engines wait for the disk. */
    private static final long MOST_UNDER_WAY = 4L << 20;

    private record Name(String user, String key) {}

    private final SpoolPolicy policy;
    /** Null: there are no files. */
    private final SegmentStore store;

    private final DoubleSupplier clock;
    private final Map<Long, SpooledResult> results = new HashMap<>();
    private final Map<Name, SpooledResult> named = new HashMap<>();
    private long underWay;
    private boolean writesFail;

    /**
     * @param store null: memory alone
     * @param clock in milliseconds, never going back
     */
    public Spool(SpoolLimits limits, SegmentStore store, DoubleSupplier clock) {
        this.policy = new SpoolPolicy(store == null ? limits.withoutFiles() : limits);
        this.store = store;
        this.clock = clock;
    }

    /** Takes in what an earlier process left whole; of two with one name the later holds. */
    public void restore(SpoolFolder.Recovered recovered) {
        recovered.whole().stream()
                .sorted((a, b) ->
                        Long.compare(a.manifest().createdMs(), b.manifest().createdMs()))
                .forEach(this::restore);
        LOG.info(
                "spool: {} whole results taken in again, {} dropped",
                named.size(),
                recovered.dropped().size());
        recovered
                .dropped()
                .forEach(d -> LOG.info("spool: {} dropped: {}", d.path().getFileName(), d.why()));
    }

    private void restore(Segment.Found found) {
        Manifest m = found.manifest();
        forget(m.user(), m.key());
        long id = policy.restore(m.user(), found.bytes(), clock.getAsDouble());
        SpooledResult result = new SpooledResult(
                this, id, m.user(), m.key(), m.statement(), new SegmentStore.Handle(found.segment()), found.blocks());
        results.put(id, result);
        named.put(new Name(m.user(), m.key()), result);
    }

    /** Lets a user's statement in, or refuses it before it runs. */
    public SpoolPolicy.Admission admit(String user) {
        return policy.admit(user, now());
    }

    /**
     * Begins a result.
     *
     * @param key by which the client will ask for it again; empty: it won't
     * @param statement digest of what was asked
     */
    public SpooledResult begin(String user, String key, String statement) {
        makeRoom(user);
        long id = policy.begin(user, !key.isEmpty(), now());
        SpooledResult result = new SpooledResult(this, id, user, key, statement, new SegmentStore.Handle(), List.of());
        results.put(id, result);
        if (!key.isEmpty()) {
            // Whoever asks under the same key from now on reads along, and nothing is run again.
            named.putIfAbsent(new Name(user, key), result);
        }
        return result;
    }

    /** Returns that user's result under that key, whole or growing, or null: what others hold is not told. */
    public SpooledResult find(String user, String key) {
        return named.get(new Name(user, key));
    }

    /** Gives the result of that name back. */
    public void forget(String user, String key) {
        SpooledResult old = named.get(new Name(user, key));
        if (old != null) {
            old.release();
        }
    }

    /** Ends what has lapsed and lets engines go on for which there is room again; ten times a second. */
    public void tick() {
        for (long id : policy.lapsed(now())) {
            SpooledResult result = results.get(id);
            if (result != null) {
                result.lapse();
            }
        }
        List.copyOf(results.values()).forEach(SpooledResult::flow);
    }

    /** Returns the figures as they stand. */
    public SpoolPolicy.Figures figures() {
        return policy.figures();
    }

    private void makeRoom(String user) {
        for (List<Long> spare = policy.pressed(user); !spare.isEmpty(); spare = policy.pressed(user)) {
            spare.forEach(id -> results.get(id).release());
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

    boolean diskKeepsUp() {
        return underWay < MOST_UNDER_WAY;
    }

    void underWay(long bytes) {
        underWay += bytes;
    }

    void wrote(IOException failure) {
        if (failure != null && !writesFail) {
            LOG.warn("spool: a write failed, results stay in memory for now: {}", failure.toString());
        }
        writesFail = failure != null;
    }

    void gone(SpooledResult result) {
        results.remove(result.id());
        named.remove(new Name(result.user(), result.key()), result);
    }

    @Override
    public void close() throws IOException {
        if (store != null) {
            store.close();
        }
    }
}
