package lineward.app;

import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import lineward.lifecycle.Lifecycle;
import lineward.operations.AdminServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Wires the admin endpoint. */
final class AdminWiring {
    private static final Logger LOG = LoggerFactory.getLogger(AdminWiring.class);
    /** Interval of checks for unresponsive clients; well below the request timeout of the endpoint. */
    private static final int CLIENT_CHECK_PERIOD_MS = 100;

    private AdminWiring() {}

    /**
     * Starts the endpoint.
     *
     * @param address listen address; null if the process has no admin endpoint
     * @throws ConfigException if the server can't listen on the address
     */
    static void start(FrontEndContext context, Lifecycle lifecycle, InetSocketAddress address) {
        if (address == null) {
            return;
        }
        AdminServer server = new AdminServer(lifecycle);
        ChannelFuture binding = server.listen(context.eventLoopGroup(), address);
        LOG.info("admin endpoint listening: address={}", FrontEndContext.awaitBound(binding));
        context.ticker().every(CLIENT_CHECK_PERIOD_MS, server::closeUnresponsive);
    }
}
