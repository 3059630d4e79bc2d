package lineward.scheduling.state;

import java.util.Locale;

/** Why an engine is ejected. */
public enum EjectionCause {
    /** It has work overdue and reports nothing. */
    SILENCE,
    /** It answers with errors. */
    ERRORS,
    /** It resets connections. */
    RESETS,
    /** It refuses connections. */
    CONNECT_FAILURES,
    /** It answers a health check as unhealthy, or not at all. */
    HEALTH_CHECK;

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
