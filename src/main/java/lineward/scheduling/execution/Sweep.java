package lineward.scheduling.execution;

import java.util.ArrayList;
import java.util.List;
import lineward.scheduling.decision.CancellationPolicy;
import lineward.scheduling.decision.KeyOrder;
import lineward.scheduling.decision.MigrationPolicy;
import lineward.scheduling.decision.OutlierDetector;
import lineward.scheduling.decision.SpeculativeCancellation;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.CancelCause;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.SchedulerContext;

/**
 * Applies the rules that depend on time: ejects silent engines, cancels slow attempts, and removes state that
 * is no longer needed. It also migrates attempts that wait at an engine.
 */
final class Sweep {
    private final SchedulerContext context;
    private final OutlierDetector outliers;
    private final SpeculativeCancellation speculation;
    private final CancellationPolicy cancellation;
    private final MigrationPolicy migration;
    private final RequestLifecycle lifecycle;
    private final KeyOrder keyOrder;
    private final List<Attempt> waitingAttempts = new ArrayList<>();

    Sweep(
            SchedulerContext context,
            OutlierDetector outliers,
            SpeculativeCancellation speculation,
            CancellationPolicy cancellation,
            MigrationPolicy migration,
            RequestLifecycle lifecycle,
            KeyOrder keyOrder) {
        this.context = context;
        this.outliers = outliers;
        this.speculation = speculation;
        this.cancellation = cancellation;
        this.migration = migration;
        this.lifecycle = lifecycle;
        this.keyOrder = keyOrder;
    }

    void detectSilentEngines() {
        context.engines().forEach(outliers::detectSilence);
    }

    /** Cancels slow attempts, and gives up requests whose answer no longer has a value. */
    void cancelAttempts() {
        for (Engine engine : context.engines()) {
            for (Attempt attempt : new ArrayList<>(engine.attemptsInFlight())) {
                if (speculation.shouldCancel(attempt)) {
                    lifecycle.cancel(attempt, CancelCause.SPECULATIVE);
                } else if (cancellation.shouldGiveUp(attempt)) {
                    lifecycle.giveUp(attempt.request());
                }
            }
        }
    }

    /**
     * Removes the keys whose settle time has passed, and the engines that are gone and not under maintenance,
     * unless attempts are in flight on them or work sent to them still counts in their slow-start budget.
     */
    void removeExpiredState() {
        keyOrder.removeSettledKeys();
        context.removeEngines(this::isRemovable);
    }

    private boolean isRemovable(Engine engine) {
        return engine.isGone()
                && !engine.isUnderMaintenance()
                && engine.attemptsInFlight().isEmpty()
                && engine.sentWorkMs(context.nowMs()) == 0;
    }

    /** Records an attempt that waits at its engine, to be considered for migration after all events. */
    void recordWaiting(Attempt attempt) {
        waitingAttempts.add(attempt);
    }

    /** Migrates the recorded attempts that another engine can take. */
    void migrateWaiting() {
        for (Attempt attempt : waitingAttempts) {
            if (migration.shouldMigrate(attempt)) {
                lifecycle.cancel(attempt, CancelCause.MIGRATION);
            }
        }
        waitingAttempts.clear();
    }
}
