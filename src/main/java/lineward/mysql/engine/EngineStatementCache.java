package lineward.mysql.engine;

import io.netty.buffer.ByteBuf;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongConsumer;
import lineward.mysql.wire.Packets;

/** An LRU cache of the statements that are prepared on one connection to an engine. */
final class EngineStatementCache {
    /** A statement that the engine has prepared, with its id at the engine. */
    record Statement(long id, int parameterCount) {}

    /** Limits the memory that the prepared statements of one connection use on the engine. */
    private static final int MAX_STATEMENTS = 64;

    private static final int INITIAL_CAPACITY = 16;
    private static final float LOAD_FACTOR = 0.75f;

    private final Map<String, Statement> byKey = new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);
    private final LongConsumer statementCloser;
    /** The statement whose preparation has not been completed; null if there is none. */
    private Statement pending;

    /** @param statementCloser closes the statement with the given id on the engine */
    EngineStatementCache(LongConsumer statementCloser) {
        this.statementCloser = statementCloser;
    }

    boolean contains(String key) {
        return byKey.containsKey(key);
    }

    /** Returns the statement with this key, or null. */
    Statement find(String key) {
        return byKey.get(key);
    }

    /** Reads a packet of the reply to COM_STMT_PREPARE; packets after the first one are ignored. */
    void readPrepareReply(ByteBuf frame) {
        if (pending == null) {
            ByteBuf payload = Packets.payload(frame).skipBytes(1);
            long id = payload.readUnsignedIntLE();
            // The number of columns precedes the number of parameters.
            int parameterCount = payload.skipBytes(Short.BYTES).readUnsignedShortLE();
            pending = new Statement(id, parameterCount);
        }
    }

    /** Stores the pending statement, whose preparation is complete, under this key. */
    void storePending(String key) {
        Statement replaced = byKey.put(key, pending);
        pending = null;
        if (replaced != null) {
            statementCloser.accept(replaced.id());
        }
        if (byKey.size() > MAX_STATEMENTS) {
            evictLeastRecentlyUsed();
        }
    }

    private void evictLeastRecentlyUsed() {
        Iterator<Statement> leastRecentFirst = byKey.values().iterator();
        Statement evicted = leastRecentFirst.next();
        leastRecentFirst.remove();
        statementCloser.accept(evicted.id());
    }
}
