package lineward.telemetry;

import lineward.core.Tracer;
import lineward.scheduling.AttemptOutcome;

/**
 * The values of the exported attribute {@code lineward.outcome}. Dashboards and alerts depend on them, so
 * they must not change when an enum constant is renamed.
 */
final class OutcomeAttribute {
    private OutcomeAttribute() {}

    /** Returns the exported outcome of an attempt. */
    static String valueOf(AttemptOutcome outcome) {
        return switch (outcome) {
            case OK -> "ok";
            case ERROR -> "error";
            case REJECTED -> "full";
            case TIMEOUT -> "timeout";
            case CONNECT_FAILED -> "connect_failed";
            case RESET -> "reset";
            case CANCELLED -> "cancelled";
            case NOT_STARTED -> "moot";
        };
    }

    /** Returns the exported outcome of a request. */
    static String valueOf(Tracer.Ending ending) {
        return switch (ending) {
            case SERVED -> "served";
            case REJECTED -> "refused";
            case FAILED -> "failed";
            case CANCELLED -> "aborted";
        };
    }
}
