package lineward.mysql.client;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import lineward.frontend.ClientRegistry;
import lineward.frontend.LingeringClose;
import lineward.mysql.wire.ChannelOperations;
import lineward.scheduling.decision.ServerAdmissionPolicy;

/** The connected clients; closes idle clients and clients that do not log in. Confined to the event loop. */
public final class ConnectedClients {
    private static final long LOGIN_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** Time for reading open cursors after the start of the graceful shutdown. */
    private static final long CURSOR_GRACE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final int maxClients;
    private final Set<ClientSession> clients = new LinkedHashSet<>();

    /** Creates an empty set with a limit. */
    public ConnectedClients(int maxClients) {
        this.maxClients = maxClients;
    }

    /** Adds the client; returns false if this exceeds the limit. */
    boolean add(ClientSession client) {
        clients.add(client);
        return ServerAdmissionPolicy.mayConnect(clients.size(), maxClients);
    }

    void remove(ClientSession client) {
        clients.remove(client);
    }

    /** Returns the number of clients. */
    public int size() {
        return clients.size();
    }

    /**
     * Closes idle clients, and some time after the start of the shutdown also clients with open cursors.
     *
     * @param probability of closing an idle client
     * @param shutdownStartedNanos start of the graceful shutdown by {@link System#nanoTime}
     */
    public void closeIdle(double probability, long shutdownStartedNanos) {
        if (System.nanoTime() - shutdownStartedNanos > CURSOR_GRACE_NANOS) {
            List.copyOf(clients).forEach(ClientSession::closeForShutdown);
        }
        List<ClientSession> idle =
                clients.stream().filter(ClientSession::isIdle).toList();
        ClientRegistry.closeSome(idle, probability, ConnectedClients::closeWhenRead);
    }

    private static void closeWhenRead(ClientSession client) {
        LingeringClose.begin(client.channel(), client::isIdle, () -> {});
    }

    /** Closes clients whose login has not succeeded in time. */
    public void closeNotLoggedIn() {
        long connectedBefore = System.nanoTime() - LOGIN_TIMEOUT_NANOS;
        clients.stream()
                .filter(client -> client.isUnauthenticatedSince(connectedBefore))
                .toList()
                .forEach(client -> ChannelOperations.close(client.channel()));
    }
}
