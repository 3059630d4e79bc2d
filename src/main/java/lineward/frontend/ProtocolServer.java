package lineward.frontend;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import lineward.core.Coordinator;
import lineward.scheduling.decision.ServerAdmissionPolicy;

/** A server for one client protocol. All methods except {@link #listen} must be called on the event loop. */
public interface ProtocolServer {
    /** Starts to accept clients, whose connections use the event loop. May be called from any thread. */
    ChannelFuture listen(EventLoopGroup loop);

    /** Processes the events since the last tick and executes the resulting commands. */
    void tick();

    /** Sets the phase, which determines the clients and requests that are admitted from now on. */
    void setAdmissionPhase(ServerAdmissionPolicy.Phase phase);

    /**
     * Limits the deadline of requests that arrive from now on, even if their clients set a later one. Ignored
     * by protocols whose requests keep the deadline of their class.
     *
     * @param deadlineMs time from now to the shutdown deadline
     */
    void setShutdownDeadline(int deadlineMs);

    /**
     * Fails all open requests, because the process is about to be killed. Ignored by protocols whose requests
     * fail at the deadline of their class.
     */
    void failOpenRequests();

    /** Stops accepting clients. A listening socket that is shared with other processes stays open. */
    void stopListening();

    /**
     * Closes each idle client connection with the given probability. If others stay open for too long during
     * a drain or shutdown, also closes these; the time limit depends on the server.
     *
     * @param probability between 0 and 1; 1 closes all idle connections
     */
    void closeIdleClients(double probability);

    /**
     * Closes connections of clients that do not send a complete message or do not log in within the timeout,
     * and does the server's other periodic work, such as engine heartbeats. Called ten times a second.
     */
    void runPeriodicTasks();

    /** Closes connections to engines that have exceeded the idle timeout. */
    void closeIdleEngineConnections();

    /**
     * Starts or ends the maintenance of an engine.
     *
     * @param underMaintenance true if the engine must get no requests from now on
     * @param sinceMs when the operator requested the change, in Unix milliseconds
     */
    void setMaintenance(String engine, boolean underMaintenance, double sinceMs);

    /** Returns the coordinator that schedules this server's requests. */
    Coordinator<?> coordinator();

    /** Returns whether no request is open and no client is connected. */
    boolean isDrained();
}
