package lineward.scheduling;

/**
 * A type of machine that engines run on.
 *
 * @param cores number of cores, at least 1
 * @param memoryMb memory in megabytes; 0: not known
 */
public record EngineKind(int cores, double memoryMb) {
    /** Validates the ranges. */
    public EngineKind {
        InvalidSettingException.require(cores >= 1, "kinds: cores", cores, "1 or more");
        InvalidSettingException.require(memoryMb >= 0, "kinds: memory", memoryMb, "0 or more");
    }
}
