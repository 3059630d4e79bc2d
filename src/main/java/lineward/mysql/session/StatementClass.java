package lineward.mysql.session;

/**
 * The class of a statement. The scheduler has two request classes for each class of the configuration: the
 * first for reads, which are idempotent, and the second for writes, which are not.
 *
 * @param configIndex index of the class in the configuration
 * @param writes whether the statement may change data
 */
public record StatementClass(int configIndex, boolean writes) {
    /** One class for reads and one for writes. */
    private static final int SCHEDULER_CLASSES_PER_CLASS = 2;

    /** Returns the index of the request class in the scheduler's settings. */
    public int schedulerIndex() {
        int reads = configIndex * SCHEDULER_CLASSES_PER_CLASS;
        return writes ? reads + 1 : reads;
    }
}
