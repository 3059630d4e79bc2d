package lineward.mysql.engine;

import io.netty.buffer.ByteBuf;
import lineward.core.ByteBudget;
import lineward.frontend.ReceiveBudget;
import lineward.mysql.wire.PacketRole;

/**
 * The packets of one reply that is not spooled. Their memory is reserved from a budget that all replies
 * share. Confined to the event loop.
 */
final class ReplyBuffer {
    private final ByteBuf packets;
    private final ByteBudget budget;
    private long reservedBytes;
    /** Number of bytes that precede the rows. */
    private int headBytes;
    /** Null before the first packet. */
    private PacketRole lastRole;

    /**
     * @param packets an empty buffer, which this object owns until {@link #detach} or {@link #release}
     * @param budget the bytes that all replies may use
     */
    ReplyBuffer(ByteBuf packets, ByteBudget budget) {
        this.packets = packets;
        this.budget = budget;
    }

    /** Appends a copy of the packet; returns false, and appends nothing, if the budget is exhausted. */
    boolean append(ByteBuf packet, PacketRole role) {
        if (!reserveFor(packets.readableBytes() + packet.readableBytes())) {
            return false;
        }
        packets.writeBytes(packet);
        if (role == PacketRole.HEAD || role == PacketRole.HEAD_END) {
            headBytes = packets.readableBytes();
        }
        lastRole = role;
        return true;
    }

    private boolean reserveFor(int size) {
        long additional = ReceiveBudget.bufferBytes(size) - reservedBytes;
        if (!budget.reserve(additional)) {
            return false;
        }
        reservedBytes += additional;
        return true;
    }

    /** Returns the number of bytes of the packets. */
    int size() {
        return packets.readableBytes();
    }

    /** Writes the packets to the spool, which counts them from now on, and releases them. */
    void moveTo(SpoolWriter spoolWriter) {
        try {
            spoolWriter.writeBuffered(packets, headBytes, lastRole);
        } finally {
            release();
        }
    }

    /** Returns the packets, which the caller owns from now on. */
    ByteBuf detach() {
        budget.release(reservedBytes);
        reservedBytes = 0;
        return packets;
    }

    /** Releases the packets. */
    void release() {
        detach().release();
    }
}
