package lineward.app;

import io.netty.channel.EventLoop;
import lineward.frontend.ProtocolServer;

/**
 * Combines the events of one iteration of the event loop into a single tick of a protocol server. All methods
 * are called on the event loop, except {@link #attach}.
 */
final class CoalescedTick implements Runnable {
    private final EventLoop eventLoop;
    private ProtocolServer server;
    private boolean isScheduled;

    CoalescedTick(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    /**
     * Sets the server, before the first event; the server's constructor needs this object, so it can't be set
     * earlier.
     */
    void attach(ProtocolServer protocolServer) {
        server = protocolServer;
    }

    @Override
    public void run() {
        if (!isScheduled) {
            isScheduled = true;
            eventLoop.execute(this::tick);
        }
    }

    private void tick() {
        isScheduled = false;
        server.tick();
    }
}
