package lineward.lifecycle;

/**
 * An operator's order on an engine.
 *
 * @param engine the engine's id
 * @param excluded whether the engine is excluded from requests; false once it is used again
 * @param sinceMs when the order was given, in Unix milliseconds
 */
record MaintenanceOrder(String engine, boolean excluded, double sinceMs) {}
