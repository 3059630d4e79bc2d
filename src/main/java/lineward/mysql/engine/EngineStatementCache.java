package lineward.mysql.engine;

import io.netty.buffer.ByteBuf;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongConsumer;
import lineward.mysql.wire.Packets;

/** The statements prepared on one connection to an engine; the least recently used one is evicted. */
final class EngineStatementCache {
    /** A prepared statement at the engine. */
    record Prepared(long id, int parameterCount) {}

    /** Limits the memory at the engine for one connection. */
    private static final int MAX_STATEMENTS = 64;

    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<String, Prepared> byKey = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
    private final LongConsumer closeAtEngine;
    /** The statement whose reply is incomplete; null between replies. */
    private Prepared pending;

    /** @param closeAtEngine closes the statement with this id at the engine */
    EngineStatementCache(LongConsumer closeAtEngine) {
        this.closeAtEngine = closeAtEngine;
    }

    boolean contains(String key) {
        return byKey.containsKey(key);
    }

    /** Returns the statement with this key, or null. */
    Prepared find(String key) {
        return byKey.get(key);
    }

    /** Reads one packet of the reply to a preparation; packets after the first are skipped. */
    void readPacket(ByteBuf frame) {
        if (pending == null) {
            ByteBuf payload = Packets.payload(frame).skipBytes(1);
            long id = payload.readUnsignedIntLE();
            // The number of columns precedes the number of parameters.
            int parameterCount = payload.skipBytes(Short.BYTES).readUnsignedShortLE();
            pending = new Prepared(id, parameterCount);
        }
    }

    /** Stores the statement, whose reply is complete. */
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
