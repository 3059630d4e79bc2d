package lineward.frontend;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/** The sizes of the buffers for reads from clients. */
public final class ClientReadBuffers {
    static final int MAX_READ_BYTES = 16 * 1024;

    private static final int MIN_READ_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 2 * 1024;

    private ClientReadBuffers() {}

    /**
     * Returns an allocator with which each connection is read once per event loop iteration, so that no
     * client starves the others or fills the memory before its bytes are counted.
     */
    public static RecvByteBufAllocator allocator() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(1);
    }
}
