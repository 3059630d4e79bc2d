package lineward.thrift;

/**
 * The ids in use as numbers in a hash table with open addressing, each with its state and the connection that
 * it counts for. The table grows by need and shrinks when the ids of a slice of time are removed. Used by
 * {@link CallIds} on the event loop.
 */
final class CallIdTable {
    /** Largest memory of an id: 13 bytes in each slot, of which half are in use after a growth. */
    static final int MAX_BYTES_PER_ID = 26;
    /** Number of different slices, of which fewer are in use at the same time. */
    static final int SLICES = 64;

    private static final byte FREE = 0;
    private static final byte OPEN = 1;
    /** The id is not in use any more; its slot becomes free when the table is rebuilt. */
    private static final byte RELEASED = 2;
    /** The call ended in slice 0; the following values stand for the other slices. */
    private static final byte ENDED = 3;

    private static final int MIN_SLOTS = 64;
    private static final double MAX_LOAD = 0.75;
    /** Slots for each id in a rebuilt table, so that it takes some time until the next growth. */
    private static final double SLOTS_PER_ID = 2;
    /** An odd number without a pattern in its bits, for multiplicative hashing. */
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private byte[] states = new byte[MIN_SLOTS];
    private long[] ids = new long[MIN_SLOTS];
    private ClientCallIds[] clients = new ClientCallIds[MIN_SLOTS];
    /** Slots that are not free. */
    private int occupied;

    private int size;

    /** Returns the number of ids in use. */
    int size() {
        return size;
    }

    /** Returns whether the id is in use. */
    boolean contains(long id) {
        byte state = states[slotOf(id)];
        return state != FREE && state != RELEASED;
    }

    /** Adds the id of an open call, which counts for this connection; the id must not be in use. */
    void open(long id, ClientCallIds client) {
        if (occupied + 1 > ids.length * MAX_LOAD) {
            rebuild();
        }
        int slot = slotOf(id);
        occupied += states[slot] == FREE ? 1 : 0;
        size++;
        states[slot] = OPEN;
        ids[slot] = id;
        clients[slot] = client;
        client.acquire();
    }

    /** Records that the call of an open id has ended in this slice of time. */
    void end(long id, int slice) {
        states[slotOf(id)] = endedIn(slice);
    }

    /** Releases an open id. */
    void release(long id) {
        releaseSlot(slotOf(id));
    }

    /** Releases the ids of all calls that ended in this slice of time. */
    void releaseSlice(int slice) {
        byte state = endedIn(slice);
        for (int slot = 0; slot < states.length; slot++) {
            if (states[slot] == state) {
                releaseSlot(slot);
            }
        }
        rebuild();
    }

    private static byte endedIn(int slice) {
        return (byte) (ENDED + slice);
    }

    private void releaseSlot(int slot) {
        states[slot] = RELEASED;
        clients[slot].release();
        size--;
    }

    /** Returns the slot that contains the id, or else the free slot for it. */
    private int slotOf(long id) {
        long hash = (id * HASH_MULTIPLIER) >>> 32;
        int slot = (int) ((hash * ids.length) >>> 32);
        while (states[slot] != FREE && ids[slot] != id) {
            slot = slot + 1 == ids.length ? 0 : slot + 1;
        }
        return slot;
    }

    /** Moves the ids in use into a table of the size that they need. */
    private void rebuild() {
        byte[] oldStates = states;
        long[] oldIds = ids;
        ClientCallIds[] oldClients = clients;
        int slots = Math.max(MIN_SLOTS, (int) (size * SLOTS_PER_ID));
        states = new byte[slots];
        ids = new long[slots];
        clients = new ClientCallIds[slots];
        occupied = size;
        for (int i = 0; i < oldStates.length; i++) {
            if (oldStates[i] != FREE && oldStates[i] != RELEASED) {
                int slot = slotOf(oldIds[i]);
                states[slot] = oldStates[i];
                ids[slot] = oldIds[i];
                clients[slot] = oldClients[i];
            }
        }
    }
}
