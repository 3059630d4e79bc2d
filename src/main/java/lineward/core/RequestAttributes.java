package lineward.core;

import lineward.scheduling.SchedulerEvent;

/**
 * The attributes of a request that the scheduler uses for its decisions.
 *
 * @param requestClass index of the request class in the settings
 * @param tenant index of the tenant in the settings; {@link #DEFAULT_TENANT} if the settings list no tenants
 * @param timeLeftMs time until the client's deadline
 * @param estimatedWorkMs estimated work of all threads, in milliseconds of one core, or
 *     {@link #NO_ESTIMATE}
 * @param estimatedMemoryMb estimated memory in megabytes, or {@link #NO_ESTIMATE}
 * @param tableGroup number of the table group, or {@link #NO_TABLE_GROUP}
 * @param clientRetry whether the client has marked the request as a retry
 */
public record RequestAttributes(
        int requestClass,
        int tenant,
        double timeLeftMs,
        double estimatedWorkMs,
        double estimatedMemoryMb,
        int tableGroup,
        boolean clientRetry) {
    /** Index of the only tenant if the settings list no tenants. */
    public static final int DEFAULT_TENANT = 0;
    /** Value of an estimate that the client has not provided. */
    public static final double NO_ESTIMATE = 0;
    /** Table group of a statement that references no numbered schema. */
    public static final int NO_TABLE_GROUP = 0;

    private static final long NO_KEY = 0;

    /** @param boundedTimeLeftMs time left, limited by the shutdown deadline */
    SchedulerEvent toEvent(long requestId, double boundedTimeLeftMs) {
        return new SchedulerEvent.RequestArrived(
                requestId,
                requestClass,
                NO_KEY,
                boundedTimeLeftMs,
                estimatedWorkMs,
                estimatedMemoryMb,
                tableGroup,
                clientRetry,
                tenant);
    }
}
