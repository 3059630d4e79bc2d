package lineward.spool;

import java.util.Comparator;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Decides which statements are admitted, and which results are released to make space for new ones. Only
 * complete results that have a key and no readers are released, the least recently used first.
 */
final class SpoolAdmission {
    /** Fraction of a limit above which no statement is admitted, so that the admitted ones can complete. */
    private static final double HIGH_WATER_RATIO = 0.9;

    private static final long MIN_RETRY_AFTER_MS = 100;
    private static final long MAX_RETRY_AFTER_MS = 2000;
    private static final long BYTES_PER_MB = 1 << 20;
    /** Retry-After per megabyte to be released, used while the release rate is unknown. */
    private static final double DEFAULT_MS_PER_MB = 20;

    private final SpoolLimits limits;
    private final SpoolUsage usage;
    private final WriteBackoff writeBackoff;
    private final ReleaseRate releaseRate;
    private long rejected;

    SpoolAdmission(SpoolLimits limits, SpoolUsage usage, WriteBackoff writeBackoff, ReleaseRate releaseRate) {
        this.limits = limits;
        this.usage = usage;
        this.writeBackoff = writeBackoff;
        this.releaseRate = releaseRate;
    }

    /** Admits a statement if there is capacity or a result can be released for it; rejects it otherwise. */
    SpoolPolicy.Admission admit(String user, double nowMs) {
        boolean userAboveHighWater = isUserAboveHighWater(user);
        boolean hasCapacity = !userAboveHighWater && !isAboveHighWater(nowMs) && !isResultLimitReached();
        if (hasCapacity || canReclaim(user, userAboveHighWater)) {
            return new SpoolPolicy.Admitted();
        }
        rejected++;
        return new SpoolPolicy.Rejected(retryAfterMs());
    }

    private boolean isAboveHighWater(double nowMs) {
        boolean mayUseFiles = limits.hasFiles() && writeBackoff.hasElapsed(nowMs);
        return mayUseFiles ? isTotalAboveHighWater() : isMemoryAboveHighWater();
    }

    private boolean isMemoryAboveHighWater() {
        return usage.memoryBytes() > HIGH_WATER_RATIO * limits.memoryBytes();
    }

    private boolean isTotalAboveHighWater() {
        return usage.bytes() > HIGH_WATER_RATIO * (limits.memoryBytes() + limits.fileBytes());
    }

    private boolean isUserAboveHighWater(String user) {
        return usage.bytesOf(user) > HIGH_WATER_RATIO * limits.userBytes();
    }

    private boolean isResultLimitReached() {
        return usage.resultCount() >= limits.results();
    }

    private boolean isFileLimitReached() {
        return limits.files() > 0 && usage.fileCount() >= limits.files();
    }

    private boolean canReclaim(String user, boolean onlyFromUser) {
        return usage.accounts().stream().anyMatch(account -> isReclaimCandidate(account, user, onlyFromUser));
    }

    private static boolean isReclaimCandidate(ResultAccount account, String user, boolean onlyFromUser) {
        return account.isReclaimable() && (!onlyFromUser || account.user().equals(user));
    }

    /** Returns the estimated time to release the memory above the high-water mark, limited to a range. */
    private long retryAfterMs() {
        double neededBytes = Math.max(1, (1 - HIGH_WATER_RATIO) * limits.memoryBytes());
        double expectedMs = releaseRate.bytesPerMs() > 0
                ? neededBytes / releaseRate.bytesPerMs()
                : neededBytes / BYTES_PER_MB * DEFAULT_MS_PER_MB;
        return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, Math.round(expectedMs)));
    }

    /** Returns the id of the result to release before a new one begins; empty if there is none. */
    OptionalLong selectForReclaim(String user) {
        boolean spoolNearLimit = isTotalAboveHighWater() || isFileLimitReached() || isResultLimitReached();
        if (!spoolNearLimit && !isUserAboveHighWater(user)) {
            return OptionalLong.empty();
        }
        return usage.accountsById().entrySet().stream()
                .filter(entry -> isReclaimCandidate(entry.getValue(), user, !spoolNearLimit))
                .min(Comparator.comparingDouble(entry -> entry.getValue().lastUsedMs()))
                .map(Map.Entry::getKey)
                .map(OptionalLong::of)
                .orElse(OptionalLong.empty());
    }

    /** Returns how many statements were rejected. */
    long rejected() {
        return rejected;
    }
}
