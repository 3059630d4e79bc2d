package lineward.app;

import io.netty.channel.EventLoop;
import lineward.frontend.ProtocolServer;

/**
 * Lets a protocol server decide on all events of one turn of the event loop together, at the turn's end. All
 * but {@link #attach} runs on the event loop.
 */
final class CoalescedTick implements Runnable {
    private final EventLoop eventLoop;
    private ProtocolServer server;
    private boolean isScheduled;

    CoalescedTick(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    /** Names the server, before the first event; it is built with this object, so it can't be passed in. */
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
