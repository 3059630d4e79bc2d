package lineward.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * A table of bounded capacity that assigns ids to its values. An id consists of a slot number and the slot's
 * generation, so a released id is not found, even if its slot has been reused. Not thread-safe.
 *
 * @param <T> type of the values
 */
public final class GenerationalTable<T> {
    private record Slot<T>(int generation, T value) {}

    /** Returned by {@link #add} if the table is full; never a valid id. */
    public static final long FULL = -1;

    private final int capacity;
    /** The value of a free slot is null. */
    private final List<Slot<T>> slots = new ArrayList<>();

    private final Deque<Integer> freeSlotNumbers = new ArrayDeque<>();

    /** @param capacity maximum number of slots in use at the same time */
    public GenerationalTable(int capacity) {
        this.capacity = capacity;
    }

    /** Adds the value and returns its id, or {@link #FULL} if every slot is in use. */
    public long add(T value) {
        if (size() >= capacity) {
            return FULL;
        }
        if (freeSlotNumbers.isEmpty()) {
            freeSlotNumbers.push(slots.size());
            slots.add(new Slot<>(0, null));
        }
        int slotNumber = freeSlotNumbers.pop();
        int generation = slots.get(slotNumber).generation() + 1 & Integer.MAX_VALUE;
        slots.set(slotNumber, new Slot<>(generation, value));
        return (long) generation << 32 | slotNumber;
    }

    /** Returns the value with this id; null if the id was released or never assigned. */
    public T get(long id) {
        int slotNumber = (int) id;
        if (id < 0 || slotNumber < 0 || slotNumber >= slots.size()) {
            return null;
        }
        Slot<T> slot = slots.get(slotNumber);
        return slot.generation() == (int) (id >>> 32) ? slot.value() : null;
    }

    /** Releases the slot of this id. Does nothing if the id was released or never assigned. */
    public void release(long id) {
        if (get(id) != null) {
            slots.set((int) id, new Slot<>((int) (id >>> 32), null));
            freeSlotNumbers.push((int) id);
        }
    }

    /** Returns the number of slots in use. */
    public int size() {
        return slots.size() - freeSlotNumbers.size();
    }

    /** Passes every value to the visitor, in slot order. The visitor may release slots. */
    public void forEach(Consumer<? super T> visitor) {
        for (Slot<T> slot : List.copyOf(slots)) {
            if (slot.value() != null) {
                visitor.accept(slot.value());
            }
        }
    }
}
