package lineward.mysql;

import java.util.Map;
import lineward.spool.SpooledResult;

/** One command of a client that an engine must answer, with the attempt that runs for it. */
public final class Query {
    final ClientSession client;
    final Work work;
    final int type;
    final Map<String, String> settings;
    final Spooling spooling;
    long request;
    QueryAttempt run;
    int runOf = -1;
    boolean open;
    /** The result of the present attempt, if it is spooled. */
    SpooledResult spooled;

    /**
     * How its result is spooled.
     *
     * @param key by which the client names it; empty: by none
     * @param digest of the statement, where there is a key
     * @param cursor statement whose rows are fetched page by page; null: all are sent in one reply
     */
    record Spooling(String key, String digest, ClientStatement cursor) {
        static final Spooling PLAIN = new Spooling("", "", null);

        boolean isPlain() {
            return key.isEmpty() && cursor == null;
        }
    }

    /**
     * @param type index of its class in the scheduler's settings
     * @param settings of the session, which must hold at the engine
     */
    Query(ClientSession client, Work work, int type, Map<String, String> settings, Spooling spooling) {
        this.client = client;
        this.work = work;
        this.type = type;
        this.settings = settings;
        this.spooling = spooling;
    }

    /** Returns the index of its class in the configuration. */
    public int classIndex() {
        return type / 2;
    }

    @Override
    public String toString() {
        return "client " + client.number() + " request " + request;
    }
}
