package lineward.thrift;

import java.util.concurrent.TimeUnit;

/** Measures the memory of the ids of ended calls and the time that a call spends on its id; run by hand. */
public final class MeasureCallIds {
    private static final int IDS = 250_000;
    private static final int ROUNDS = 8;

    private MeasureCallIds() {}

    /** Prints the figures of each round; the first ones include the time of the compiler. */
    public static void main(String[] args) {
        for (int round = 0; round < ROUNDS; round++) {
            measure(round);
        }
    }

    private static void measure(int round) {
        String[] names = new String[IDS];
        for (int i = 0; i < IDS; i++) {
            names[i] = String.format("%016x", (long) round * IDS + i);
        }
        CallIds ids = new CallIds(4 * IDS);
        ClientCallIds client = new ClientCallIds();
        long bytesBefore = usedBytes();
        long startNanos = System.nanoTime();
        for (int i = 0; i < IDS; i++) {
            // Five seconds' calls at a constant rate.
            long nowNanos = TimeUnit.SECONDS.toNanos(5) * i / IDS;
            ids.expire(nowNanos);
            long id = CallIds.numberOf(names[i]);
            if (ids.isInUse(id) || !ids.hasCapacity(client)) {
                throw new IllegalStateException("call " + i + " is rejected");
            }
            ids.opened(id, client);
            ids.ended(id, nowNanos);
        }
        long tookNanos = System.nanoTime() - startNanos;
        double bytesPerId = (double) (usedBytes() - bytesBefore) / IDS;
        double nanosPerCall = (double) tookNanos / IDS;
        System.out.printf("%.1f bytes for each id, %.0f ns for each call%n", bytesPerId, nanosPerCall);
        if (!ids.isInUse(CallIds.numberOf(names[0]))) {
            throw new IllegalStateException("the first id is not in use");
        }
    }

    private static long usedBytes() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
