package lineward.spool;

/**
 * The owner of a result, its key and its statement.
 *
 * @param user owner of the result
 * @param key under which the client may request the result again; empty if it has none
 * @param digest digest of the statement and its arguments
 */
record ResultDescription(String user, String key, String digest) {
    boolean isKeyed() {
        return !key.isEmpty();
    }
}
