package lineward.core;

import lineward.scheduling.SchedulerEvent;

/**
 * The fields of a request on which the scheduler decides.
 *
 * @param requestClass index of the class in the settings
 * @param tenant index of the tenant in the settings; {@link #DEFAULT_TENANT} where the settings name none
 * @param timeLeftMs how long the client still waits
 * @param estimatedWorkMs estimated work in milliseconds on one core, or {@link #NO_ESTIMATE}
 * @param estimatedMemoryMb estimated memory, or {@link #NO_ESTIMATE}
 * @param tableGroup number of the group of tables, or {@link #NO_TABLE_GROUP}
 * @param clientRetry whether the client marks the request as a retry of its own
 */
public record RequestAttributes(
        int requestClass,
        int tenant,
        double timeLeftMs,
        double estimatedWorkMs,
        double estimatedMemoryMb,
        int tableGroup,
        boolean clientRetry) {
    /** The only tenant where the settings name none. */
    public static final int DEFAULT_TENANT = 0;
    /** Value of an estimate that the client does not give. */
    public static final double NO_ESTIMATE = 0;
    /** The group of a statement that names no numbered schema. */
    public static final int NO_TABLE_GROUP = 0;

    private static final long NO_KEY = 0;

    /** @param boundedTimeLeftMs the time left, bounded by the shutdown deadline */
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
