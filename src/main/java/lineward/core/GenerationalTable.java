package lineward.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/**
 * A bounded table of numbered slots. An id holds the slot's number and its generation, so that an id kept
 * past its release finds nothing, even when the slot is in use again.
 *
 * @param <T> what the slots hold
 */
public final class GenerationalTable<T> {
    private record Slot<T>(int generation, T value) {}

    /** What {@link #add} answers when the table is full; never an id. */
    public static final long FULL = -1;

    private final int capacity;
    private final List<Slot<T>> slots = new ArrayList<>();
    private final Deque<Integer> free = new ArrayDeque<>();

    /** @param capacity the most slots in use at once */
    public GenerationalTable(int capacity) {
        this.capacity = capacity;
    }

    /** Returns the id of the slot that now holds the value, or {@link #FULL}. */
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

    /** Returns what the slot holds, or null if the id is stale or was never given. */
    public T get(long id) {
        int number = (int) id;
        if (id < 0 || number < 0 || number >= slots.size()) {
            return null;
        }
        Slot<T> slot = slots.get(number);
        return slot.generation() == (int) (id >>> 32) ? slot.value() : null;
    }

    /** Frees the slot; a stale id is passed over. */
    public void release(long id) {
        if (get(id) != null) {
            slots.set((int) id, new Slot<>((int) (id >>> 32), null));
            free.push((int) id);
        }
    }

    /** Returns the slots in use. */
    public int size() {
        return slots.size() - free.size();
    }

    /** Shows the visitor every value, in the order of the slots. */
    public void forEach(Consumer<? super T> visitor) {
        for (Slot<T> slot : List.copyOf(slots)) {
            if (slot.value() != null) {
                visitor.accept(slot.value());
            }
        }
    }
}
