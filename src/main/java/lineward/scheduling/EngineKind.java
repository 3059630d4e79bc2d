package lineward.scheduling;

/**
 * A kind of engine machine.
 *
 * @param cores its cores, at least 1
 * @param memoryMb its memory; 0: not known
 */
public record EngineKind(int cores, double memoryMb) {
    /** Checks the ranges. */
    public EngineKind {
        InvalidSettingException.require(cores >= 1, "kinds: cores", cores, "1 or more");
        InvalidSettingException.require(memoryMb >= 0, "kinds: memory", memoryMb, "0 or more");
    }
}
