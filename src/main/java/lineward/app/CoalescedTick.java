package lineward.app;

import io.netty.channel.EventLoop;
import lineward.frontend.ProtocolServer;

/**
 * Runs the tick of a protocol server once at the end of a turn of the event loop, for all events of the turn.
 * All methods are called on the event loop, except {@link #attach}.
 */
final class CoalescedTick implements Runnable {
    private final EventLoop eventLoop;
    private ProtocolServer server;
    private boolean isScheduled;

    CoalescedTick(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    /** Sets the server before the first event; its constructor needs this object, so it is set later. */
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
