package lineward.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * A bounded table of numbered slots. An id is made of the slot's number and its generation, so an id that is
 * used after its release finds nothing, even if the slot is in use again. Used on the event loop only.
 *
 * @param <T> what the slots hold
 */
public final class GenerationalTable<T> {
    private record Slot<T>(int generation, T value) {}

    /** Returned by {@link #add} if the table is full; never an id. */
    public static final long FULL = -1;

    private final int capacity;
    /** A free slot has the value null. */
    private final List<Slot<T>> slots = new ArrayList<>();

    private final Deque<Integer> free = new ArrayDeque<>();

    /** @param capacity maximum of slots in use at once */
    public GenerationalTable(int capacity) {
        this.capacity = capacity;
    }

    /** Adds the value and returns its id, or {@link #FULL} if every slot is in use. */
    public long add(T value) {
        if (size() >= capacity) {
            return FULL;
        }
        if (free.isEmpty()) {
            free.push(slots.size());
            slots.add(new Slot<>(0, null));
        }
        int number = free.pop();
        int generation = slots.get(number).generation() + 1 & Integer.MAX_VALUE;
        slots.set(number, new Slot<>(generation, value));
        return (long) generation << 32 | number;
    }

    /** Returns the value with that id; null if the id is stale or was never assigned. */
    public T get(long id) {
        int number = (int) id;
        if (id < 0 || number < 0 || number >= slots.size()) {
            return null;
        }
        Slot<T> slot = slots.get(number);
        return slot.generation() == (int) (id >>> 32) ? slot.value() : null;
    }

    /** Frees the slot of that id; a stale id is ignored. */
    public void release(long id) {
        if (get(id) != null) {
            slots.set((int) id, new Slot<>((int) (id >>> 32), null));
            free.push((int) id);
        }
    }

    /** Returns the number of slots in use. */
    public int size() {
        return slots.size() - free.size();
    }

    /** Passes every value to the visitor, in the order of the slots. The visitor may release slots. */
    public void forEach(Consumer<? super T> visitor) {
        for (Slot<T> slot : List.copyOf(slots)) {
            if (slot.value() != null) {
                visitor.accept(slot.value());
            }
        }
    }
}
