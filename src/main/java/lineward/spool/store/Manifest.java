package lineward.spool.store;

/**
 * The description of a complete result, stored with its rows. The names of the components are the keys of
 * its JSON form on file and can't change.
 *
 * @param user owner of the result, the only user who may read it
 * @param key idempotency key by which its client names it
 * @param statement digest of the statement and its arguments, so that a key can't be used for another
 * @param createdMs Unix time of its completion, in milliseconds
 * @param rows of all blocks together
 * @param rawBytes of all blocks together, decompressed
 */
public record Manifest(String user, String key, String statement, long createdMs, long rows, long rawBytes) {}
