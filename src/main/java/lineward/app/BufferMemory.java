package lineward.app;

import io.netty.util.internal.PlatformDependent;

/**
 * The direct memory of the process, which holds what is read from and written to sockets. If it is exhausted,
 * Netty closes whichever connection is read next. The parts of it must therefore not add up to more than
 * there is: the receive buffers of two protocols and the unread responses use seven eighths, and the
 * rest is for reads, for writes to engines and for replies of engines that are not complete.
 */
final class BufferMemory {
    /** The receive buffers of one protocol may use the direct memory divided by this. */
    private static final int RECEIVE_DIVISOR = 8;

    /** The unread replies of MySQL clients may use the direct memory divided by this. */
    private static final int UNREAD_DIVISOR = 8;

    private BufferMemory() {}

    /** Returns the maximum size of the direct memory in bytes. */
    static long capacityBytes() {
        return PlatformDependent.maxDirectMemory();
    }

    /** Returns the maximum number of bytes that one protocol buffers for requests that are not complete. */
    static long receiveBytes() {
        return capacityBytes() / RECEIVE_DIVISOR;
    }

    /** Returns the number of unread bytes from which MySQL clients are sent no more. */
    static long unreadBytes() {
        return capacityBytes() / UNREAD_DIVISOR;
    }
}
