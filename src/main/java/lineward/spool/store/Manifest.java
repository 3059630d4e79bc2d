package lineward.spool.store;

/**
 * The description of a complete result, stored with its rows. The names of the components are the keys of
 * the stored JSON object and must not change.
 *
 * @param user owner of the result, the only user who may read it
 * @param key idempotency key that the client gave to the result
 * @param statement digest of the statement and its arguments, so that a key can't be used for another
 * @param createdMs Unix time of its completion, in milliseconds
 * @param rows number of rows of all blocks
 * @param rawBytes bytes of all blocks, decompressed
 */
public record Manifest(String user, String key, String statement, long createdMs, long rows, long rawBytes) {}
