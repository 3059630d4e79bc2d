package lineward.scheduling.decision;

import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/** Decides which attempts that wait at their engine are cancelled and queued at another one. */
public final class MigrationPolicy {
    /**
     * Maximum number of attempts, of any kind, of a request that is still migrated. After more, another
     * engine is unlikely to have capacity.
     */
    private static final int MAX_ATTEMPTS_FOR_MIGRATION = 2;

    private final SchedulerContext context;
    private final CancellationPolicy cancellation;
    private final RetryPolicy retries;
    private final EngineEligibility eligibility;

    /** Creates a policy over the given scheduler state. */
    public MigrationPolicy(
            SchedulerContext context,
            CancellationPolicy cancellation,
            RetryPolicy retries,
            EngineEligibility eligibility) {
        this.context = context;
        this.cancellation = cancellation;
        this.retries = retries;
        this.eligibility = eligibility;
    }

    /**
     * Returns whether the attempt should be migrated now: it waits at its engine without any progress, and
     * its request is idempotent, has attempts left for the migration and a later relaunch, and can meet its
     * objective on another engine that can take it.
     */
    public boolean shouldMigrate(Attempt attempt) {
        ScheduledRequest request = attempt.request();
        return cancellation.mayCancel(attempt)
                && cancellation.isUnanswered(request)
                && attempt.isWaiting()
                && !attempt.hasProgress()
                && request.isIdempotent()
                && hasMigrationsLeft(request)
                && context.nowMs() + request.expectedRunMs() < request.objectiveEndMs()
                && retries.mayRelaunch(request)
                && eligibility.hasTargetForRelaunch(attempt);
    }

    private boolean hasMigrationsLeft(ScheduledRequest request) {
        int attempts = request.attempts().size();
        int maxAttempts = context.settings().attemptLimits().maxPerRequest();
        return attempts <= MAX_ATTEMPTS_FOR_MIGRATION && attempts < maxAttempts - 1;
    }
}
