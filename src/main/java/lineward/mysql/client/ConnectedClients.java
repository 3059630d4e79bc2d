package lineward.mysql.client;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import lineward.frontend.ClientRegistry;
import lineward.frontend.LingeringClose;
import lineward.mysql.wire.ChannelOperations;
import lineward.scheduling.decision.ServerAdmissionPolicy;

/**
 * The connected clients: limits their number, closes those that do not log in in time, and closes idle ones
 * during a drain or shutdown. Confined to the event loop.
 */
public final class ConnectedClients {
    private static final long LOGIN_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** Time that clients have to read their open cursors after the drain or shutdown has started. */
    private static final long CURSOR_GRACE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final int maxClients;
    private final Set<ClientSession> clients = new LinkedHashSet<>();

    /** Creates an empty set for at most this number of clients. */
    public ConnectedClients(int maxClients) {
        this.maxClients = maxClients;
    }

    /** Adds the client; returns false if that exceeds the limit and the caller must disconnect the client. */
    boolean add(ClientSession client) {
        clients.add(client);
        return ServerAdmissionPolicy.isWithinClientLimit(clients.size(), maxClients);
    }

    void remove(ClientSession client) {
        clients.remove(client);
    }

    /** Returns the number of clients. */
    public int size() {
        return clients.size();
    }

    /**
     * Closes each idle client with the given probability. Once the grace period for cursors has passed since
     * the start of the drain or shutdown, also closes all clients without a command in progress, even with
     * open cursors.
     *
     * @param probability the probability that an idle client is closed
     * @param shutdownStartedNanos {@link System#nanoTime} at the start of the drain or graceful shutdown
     */
    public void closeIdle(double probability, long shutdownStartedNanos) {
        if (System.nanoTime() - shutdownStartedNanos > CURSOR_GRACE_NANOS) {
            List.copyOf(clients).forEach(ClientSession::closeForShutdown);
        }
        List<ClientSession> idle =
                clients.stream().filter(ClientSession::isIdle).toList();
        ClientRegistry.closeRandomly(idle, probability, ConnectedClients::closeIfStillIdle);
    }

    private static void closeIfStillIdle(ClientSession client) {
        LingeringClose.begin(client.channel(), client::isIdle, () -> {});
    }

    /** Closes clients that did not log in within the login timeout. */
    public void closeOverdueLogins() {
        long connectedBefore = System.nanoTime() - LOGIN_TIMEOUT_NANOS;
        clients.stream()
                .filter(client -> client.isUnauthenticatedSince(connectedBefore))
                .toList()
                .forEach(client -> ChannelOperations.close(client.channel()));
    }
}
