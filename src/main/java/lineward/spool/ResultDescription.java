package lineward.spool;

/**
 * Whose result it is and what was asked.
 *
 * @param user owner of the result
 * @param key by which its client asks for it again; empty: it won't
 * @param statement digest of the statement and its arguments
 */
record ResultDescription(String user, String key, String statement) {
    boolean isKeyed() {
        return !key.isEmpty();
    }
}
