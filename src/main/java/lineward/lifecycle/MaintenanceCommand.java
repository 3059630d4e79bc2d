package lineward.lifecycle;

/**
 * An operator's command to exclude an engine from requests, or to release it.
 *
 * @param engine id of the engine
 * @param excluded true to exclude the engine, false to release it
 * @param sinceMs when the command was given, in Unix milliseconds
 */
record MaintenanceCommand(String engine, boolean excluded, double sinceMs) {}
