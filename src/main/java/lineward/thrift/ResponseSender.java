package lineward.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.Comparator;
import lineward.core.ByteBudget;
import lineward.frontend.ClientRegistry;

/**
 * Sends responses, and limits the bytes of those that are not completely written because clients do not read
 * them. Used on the event loop only.
 */
final class ResponseSender {
    private final ClientRegistry<ClientHandler> clients;
    private final ByteBudget unreadBytes;

    /** @param maxUnreadBytes total maximum; beyond it the client with the most unread bytes is closed */
    ResponseSender(ClientRegistry<ClientHandler> clients, long maxUnreadBytes) {
        this.clients = clients;
        this.unreadBytes = new ByteBudget(maxUnreadBytes);
    }

    /** Returns the bytes of responses that are not completely written. */
    long unreadBytes() {
        return unreadBytes.used();
    }

    /**
     * Sends the frame and takes ownership of it. If the frame would exceed the maximum, the client with the
     * most unread bytes is closed; if that does not free enough, the frame is dropped and this client closed.
     */
    void send(ClientHandler client, ByteBuf frame) {
        int bytes = frame.readableBytes();
        if (!reserve(client.channel(), bytes)) {
            frame.release();
            client.close();
            return;
        }
        client.responseStarted(bytes);
        client.channel().writeAndFlush(frame).addListener(done -> {
            unreadBytes.release(bytes);
            client.responseEnded(bytes);
        });
    }

    private boolean reserve(Channel channel, int bytes) {
        if (unreadBytes.reserve(bytes)) {
            return true;
        }
        closeSlowestReader();
        return channel.isActive() && unreadBytes.reserve(bytes);
    }

    private void closeSlowestReader() {
        clients.openClientConnections().stream()
                .max(Comparator.comparingLong(ClientHandler::unreadBytes))
                .ifPresent(ClientHandler::close);
    }
}
