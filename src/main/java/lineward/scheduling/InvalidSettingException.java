package lineward.scheduling;

/** Thrown for a setting that is outside its valid range. */
public final class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1L;

    private InvalidSettingException(String key, Object found, String allowed) {
        super("invalid setting: " + key + " (found " + found + ", allowed: " + allowed + ")");
    }

    /**
     * Checks one setting.
     *
     * @param inRange whether the configured value is valid
     * @param key name of the setting
     * @param found the configured value
     * @param allowed description of the valid range
     * @throws InvalidSettingException if the value is not valid
     */
    public static void require(boolean inRange, String key, Object found, String allowed) {
        if (!inRange) {
            throw new InvalidSettingException(key, found, allowed);
        }
    }

    /** Checks that a number is not negative. */
    static void requireNotNegative(String key, double found) {
        require(found >= 0, key, found, "0 or more");
    }

    /** Checks that a number lies between 0 and 1. */
    static void requireRatio(String key, double found) {
        require(found >= 0 && found <= 1, key, found, "0 to 1");
    }
}
