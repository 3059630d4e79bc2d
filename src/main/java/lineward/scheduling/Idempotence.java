package lineward.scheduling;

/** Whether a request may run more than once. */
public enum Idempotence {
    /** Always. */
    IDEMPOTENT,
    /**
     * Where engines detect duplicates by an idempotency key, for a limited time and within a {@link
     * DeduplicationScope}.
     */
    BY_KEY,
    /** Never. */
    NON_IDEMPOTENT
}
