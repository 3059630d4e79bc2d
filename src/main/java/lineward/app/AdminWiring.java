package lineward.app;

import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import lineward.lifecycle.Lifecycle;
import lineward.operations.AdminServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Wires the admin endpoint, where operators call. */
final class AdminWiring {
    private static final Logger LOG = LoggerFactory.getLogger(AdminWiring.class);
    /** How often silent callers are looked for; they may stay silent for most of a second. */
    private static final int UNRESPONSIVE_INTERVAL_MS = 100;

    private AdminWiring() {}

    /**
     * Starts the endpoint.
     *
     * @param address null: there is none
     * @throws ConfigException if it can't listen there
     */
    static void start(FrontEndContext context, Lifecycle lifecycle, InetSocketAddress address) {
        if (address == null) {
            return;
        }
        AdminServer server = new AdminServer(lifecycle);
        ChannelFuture binding = server.listen(context.eventLoopGroup(), address);
        LOG.info("operators call at {}", FrontEndContext.awaitBound(binding));
        context.ticker().every(UNRESPONSIVE_INTERVAL_MS, server::closeUnresponsive);
    }
}
