package lineward.mysql;

import java.util.List;

/** What one attempt has an engine do, from scratch. Texts are Latin-1 strings of the client's bytes. */
sealed interface Work {
    /** The schema in which it runs; empty where the client chose none. */
    String schema();

    /** Runs a text. */
    record Query(String schema, String text) implements Work { }

    /** Prepares a text, for what the client is to know of it. */
    record Prepare(String schema, String text) implements Work { }

    /**
     * Prepares a text anew, unless this engine's connection has it, and runs it.
     *
     * @param params how many parameters the client was told of
     * @param arguments what follows the statement's id, with the types always in place
     */
    record Execute(String schema, String text, int params, byte[] arguments, List<LongData> longData)
            implements Work { }

    /** Chooses the schema. */
    record UseSchema(String schema) implements Work { }

    /** A piece of a parameter sent ahead of the execution. */
    record LongData(int param, byte[] bytes) { }
}
