package lineward.core;

import lineward.scheduling.SchedulerEvent;

/**
 * The fields of a request that decisions need.
 *
 * @param requestClass the class's index in the settings
 * @param tenant the tenant's index in the settings
 * @param timeLeftMs how long the client still waits
 * @param estimatedWorkMs estimated work in milliseconds on one core; 0: not known
 * @param estimatedMemoryMb estimated memory; 0: not known
 * @param tableGroup the group of tables; 0: none
 * @param clientRetry whether the client marks it as its retry
 */
public record RequestAttributes(
        int requestClass,
        int tenant,
        double timeLeftMs,
        double estimatedWorkMs,
        double estimatedMemoryMb,
        int tableGroup,
        boolean clientRetry) {
    private static final long NO_KEY = 0;

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
