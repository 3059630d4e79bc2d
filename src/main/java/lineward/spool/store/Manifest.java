package lineward.spool.store;

/**
 * What is known of a whole result beside its rows.
 *
 * @param user whose it is: nobody else may read it
 * @param key by which its client names it
 * @param statement digest of the statement and its arguments, so that a key can't be used for another
 * @param createdMs Unix time of its first byte
 * @param rows of all blocks together
 * @param rawBytes of all blocks together, unpacked
 */
public record Manifest(String user, String key, String statement, long createdMs, long rows, long rawBytes) {}
