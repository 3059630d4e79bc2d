package lineward.app;

import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import lineward.core.Coordinator;
import lineward.gossip.GossipSocket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Wires the gossip between the front ends of a tier. A front end starts without gossip if the socket can't be
 * opened.
 */
final class GossipWiring {
    private static final Logger LOG = LoggerFactory.getLogger(GossipWiring.class);

    private GossipWiring() {}

    /**
     * Creates a socket that is opened when the front end starts.
     *
     * @param gossip addresses of the gossip; null if there is none
     * @param afterEachMessage run on the event loop after each message from another front end
     * @return a function that broadcasts a message; it drops the message if there is no gossip
     */
    static Consumer<byte[]> connect(
            FrontEndContext context,
            PlatformConfig.Gossip gossip,
            Coordinator<?> coordinator,
            Runnable afterEachMessage) {
        if (gossip == null) {
            return payload -> {};
        }
        GossipSocket socket = new GossipSocket(gossip.peers(), gossip.group(), (from, payload) -> {
            coordinator.gossipReceived(from, payload);
            afterEachMessage.run();
        });
        context.startActions().add(() -> open(context, socket, gossip.listen()));
        return socket::broadcast;
    }

    private static void open(FrontEndContext context, GossipSocket socket, InetSocketAddress address) {
        ChannelFuture opening = socket.open(context.eventLoopGroup(), address).awaitUninterruptibly();
        if (!opening.isSuccess()) {
            String cause = String.valueOf(opening.cause());
            LOG.warn("gossip disabled, its socket can't be opened: address={} cause={}", address, cause);
        }
    }
}
