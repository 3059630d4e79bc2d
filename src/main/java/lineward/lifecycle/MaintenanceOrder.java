package lineward.lifecycle;

/**
 * An operator's command to exclude an engine from requests or to release it.
 *
 * @param engine the engine's id
 * @param excluded whether the engine is excluded from requests; false if it is released
 * @param sinceMs when the command was given, in Unix milliseconds
 */
record MaintenanceOrder(String engine, boolean excluded, double sinceMs) {}
