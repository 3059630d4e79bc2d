package lineward.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.Comparator;
import lineward.core.ByteBudget;
import lineward.frontend.ClientRegistry;

/** Sends responses, and bounds the bytes that clients have not read. Used on the event loop only. */
final class ResponseSender {
    private final ClientRegistry<ClientHandler> clients;
    private final ByteBudget unreadBytes;

    /** @param maxUnreadBytes maximum for all clients; beyond it the client with most of them is closed */
    ResponseSender(ClientRegistry<ClientHandler> clients, long maxUnreadBytes) {
        this.clients = clients;
        this.unreadBytes = new ByteBudget(maxUnreadBytes);
    }

    /** Returns the bytes of responses that clients have not read. */
    long unreadBytes() {
        return unreadBytes.used();
    }

    /** Sends the frame and takes ownership of it. Closes the client if the frame exceeds the bound. */
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
        clients.all().stream()
                .max(Comparator.comparingLong(ClientHandler::unreadBytes))
                .ifPresent(ClientHandler::close);
    }
}
