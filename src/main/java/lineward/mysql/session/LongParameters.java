package lineward.mysql.session;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lineward.core.ByteBudget;
import lineward.frontend.ReceiveBudget;

/**
 * The long parameters of the next execution of one statement (COM_STMT_SEND_LONG_DATA). The parts of a
 * parameter are joined, so that the memory depends on their bytes and not on their number.
 */
public final class LongParameters {
    /** Memory of a parameter beside its value: a map entry and a buffer object. */
    private static final int PARAMETER_OVERHEAD_BYTES = 192;

    private final ByteBudget memory;
    /** In the order of the first part of each parameter. */
    private final Map<Integer, ByteBuf> valuesByIndex = new LinkedHashMap<>();

    private int valueBytes;
    private long reservedBytes;

    /** @param memory the budget from which the memory of the values is reserved */
    LongParameters(ByteBudget memory) {
        this.memory = memory;
    }

    /** Returns the bytes of all values. */
    public int valueBytes() {
        return valueBytes;
    }

    /**
     * Appends a part to the value of a parameter.
     *
     * @param part read to its end
     * @return false if there is no memory for it; nothing is changed then
     */
    public boolean append(int parameterIndex, ByteBuf part) {
        ByteBuf value = valuesByIndex.getOrDefault(parameterIndex, Unpooled.EMPTY_BUFFER);
        int bytes = value.readableBytes() + part.readableBytes();
        int capacity = (int) ReceiveBudget.bufferBytes(bytes);
        boolean isNew = !valuesByIndex.containsKey(parameterIndex);
        long additional = (long) capacity - value.capacity() + (isNew ? PARAMETER_OVERHEAD_BYTES : 0);
        if (!memory.reserve(additional)) {
            return false;
        }
        reservedBytes += additional;
        valueBytes += part.readableBytes();
        ByteBuf target = isNew ? Unpooled.buffer(capacity) : value.capacity(capacity);
        valuesByIndex.put(parameterIndex, target.writeBytes(part));
        return true;
    }

    /** Returns the values for an execution. */
    List<Work.LongData> values() {
        List<Work.LongData> values = new ArrayList<>(valuesByIndex.size());
        valuesByIndex.forEach((index, value) -> {
            byte[] bytes = new byte[value.readableBytes()];
            value.getBytes(value.readerIndex(), bytes);
            values.add(new Work.LongData(index, bytes));
        });
        return values;
    }

    /** Discards the values and releases their memory. */
    void clear() {
        valuesByIndex.clear();
        memory.release(reservedBytes);
        reservedBytes = 0;
        valueBytes = 0;
    }
}
