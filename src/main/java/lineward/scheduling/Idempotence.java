package lineward.scheduling;

/** Whether a request may run more than once. */
public enum Idempotence {
    /** Always. */
    IDEMPOTENT,
    /**
     * Only with an idempotency key, by which engines detect duplicates for a limited time and within a
     * {@link DeduplicationScope}.
     */
    BY_KEY,
    /** Never. */
    NON_IDEMPOTENT
}
