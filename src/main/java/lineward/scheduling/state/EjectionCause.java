package lineward.scheduling.state;

import java.util.Locale;

/** Why an engine is ejected. */
public enum EjectionCause {
    /** The engine has overdue attempts and sends neither responses nor progress reports. */
    SILENCE,
    /** The engine responds with errors. */
    ERRORS,
    /** Connections to the engine are reset. */
    RESETS,
    /** Connections to the engine cannot be established. */
    CONNECT_FAILURES,
    /** A health check failed or was not answered. */
    HEALTH_CHECK;

    @Override
    public String toString() {
        return name().toLowerCase(Locale.ROOT);
    }
}
