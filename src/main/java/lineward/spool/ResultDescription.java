package lineward.spool;

/**
 * The owner of a result, its key and its statement.
 *
 * @param user owner of the result
 * @param key by which its client may ask for it again; empty for none
 * @param statement digest of the statement and its arguments
 */
record ResultDescription(String user, String key, String statement) {
    boolean isKeyed() {
        return !key.isEmpty();
    }
}
