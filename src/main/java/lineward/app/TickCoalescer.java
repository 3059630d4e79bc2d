package lineward.app;

import io.netty.channel.EventLoop;
import lineward.frontend.ProtocolServer;

/**
 * Schedules a tick of a protocol server on the event loop. Further calls of {@link #run} before that tick
 * have no effect. All methods are called on the event loop, except {@link #setServer}.
 */
final class TickCoalescer implements Runnable {
    private final EventLoop eventLoop;
    private ProtocolServer server;
    private boolean isScheduled;

    TickCoalescer(EventLoop eventLoop) {
        this.eventLoop = eventLoop;
    }

    /**
     * Sets the server; must be called before the first {@link #run}. The server can't be passed to the
     * constructor, because its own constructor needs this object.
     */
    void setServer(ProtocolServer protocolServer) {
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
