package lineward.mysql;

import io.netty.buffer.ByteBuf;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongConsumer;

/** The statements prepared on one connection to an engine; the least recently used one is evicted. */
final class EngineStatementCache {
    /** A statement as the engine knows it. */
    record Prepared(long id, int parameterCount) {}

    /** Bounds what one connection holds in an engine's memory. */
    private static final int MAX_STATEMENTS = 64;

    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<String, Prepared> byKey = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
    private final LongConsumer closeAtEngine;
    /** The statement whose reply is being read; null between replies. */
    private Prepared pending;

    /** @param closeAtEngine closes the statement with this id at the engine */
    EngineStatementCache(LongConsumer closeAtEngine) {
        this.closeAtEngine = closeAtEngine;
    }

    boolean contains(String key) {
        return byKey.containsKey(key);
    }

    /** Returns the statement prepared under the key, or null. */
    Prepared find(String key) {
        return byKey.get(key);
    }

    /** Reads one packet of the reply to a preparation; only the first one tells something. */
    void readPacket(ByteBuf frame) {
        if (pending == null) {
            ByteBuf payload = Packets.payload(frame).skipBytes(1);
            long id = payload.readUnsignedIntLE();
            // The count of columns comes between.
            int parameterCount = payload.skipBytes(Short.BYTES).readUnsignedShortLE();
            pending = new Prepared(id, parameterCount);
        }
    }

    /** Stores the statement whose reply has been read completely. */
    void complete(String key) {
        Prepared replaced = byKey.put(key, pending);
        pending = null;
        if (replaced != null) {
            closeAtEngine.accept(replaced.id());
        }
        if (byKey.size() > MAX_STATEMENTS) {
            evictLeastRecentlyUsed();
        }
    }

    private void evictLeastRecentlyUsed() {
        Iterator<Prepared> leastRecentFirst = byKey.values().iterator();
        Prepared evicted = leastRecentFirst.next();
        leastRecentFirst.remove();
        closeAtEngine.accept(evicted.id());
    }
}
