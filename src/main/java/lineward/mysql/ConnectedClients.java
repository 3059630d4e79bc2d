package lineward.mysql;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import lineward.frontend.ClientRegistry;
import lineward.frontend.LingeringClose;

/** The connected clients, and which are closed for being idle or late. Used by one event loop only. */
final class ConnectedClients {
    private static final long LOGIN_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** How long open cursors may be read after the graceful shutdown has begun. */
    private static final long CURSOR_GRACE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final int maxClients;
    private final Set<ClientSession> clients = new LinkedHashSet<>();

    ConnectedClients(int maxClients) {
        this.maxClients = maxClients;
    }

    /** Adds the client; returns false if there are too many now. */
    boolean add(ClientSession client) {
        clients.add(client);
        return clients.size() <= maxClients;
    }

    void remove(ClientSession client) {
        clients.remove(client);
    }

    int size() {
        return clients.size();
    }

    /** Closes each idle client with that chance, and all cursors if the shutdown began long enough ago. */
    void closeIdle(double chance, long shutdownStartedNanos) {
        if (System.nanoTime() - shutdownStartedNanos > CURSOR_GRACE_NANOS) {
            List.copyOf(clients).forEach(ClientSession::closeForShutdown);
        }
        List<ClientSession> idle =
                clients.stream().filter(ClientSession::isIdle).toList();
        ClientRegistry.closeSome(
                idle, chance, client -> LingeringClose.begin(client.channel(), client::isIdle, () -> {}));
    }

    /** Closes clients that have not logged in in time; one that has may be idle, as sessions are. */
    void closeNotLoggedIn() {
        long connectedBefore = System.nanoTime() - LOGIN_TIMEOUT_NANOS;
        clients.stream()
                .filter(client -> client.isUnauthenticatedSince(connectedBefore))
                .toList()
                .forEach(client -> ChannelOperations.close(client.channel()));
    }
}
