package lineward.frontend;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import lineward.core.Coordinator;
import lineward.scheduling.decision.ServerAdmissionPolicy;

/** The program's interface to a client protocol. All methods but {@link #listen} run on the event loop. */
public interface ProtocolServer {
    /** Starts to accept clients, whose connections run on the loop. May be called from any thread. */
    ChannelFuture listen(EventLoopGroup loop);

    /** Lets the scheduler decide on the events since the last tick, and executes its commands. */
    void tick();

    /** Sets which clients and requests are admitted from now on. */
    void setAdmission(ServerAdmissionPolicy.Phase phase);

    /**
     * Bounds the time of requests that arrive from now on, even if their clients set a later deadline.
     *
     * @param deadlineMs time from now
     */
    void setShutdownDeadline(int deadlineMs);

    /** Fails all open requests, because the process is about to be killed. */
    void failOpenRequests();

    /** Closes the listening socket; a socket that other processes share stays open there. */
    void stopListening();

    /**
     * Closes idle connections, each with this probability.
     *
     * @param probability in [0, 1]; 1 closes all
     */
    void closeIdleClients(double probability);

    /** Closes connections that are silent or whose message stays incomplete. Called ten times a second. */
    void closeUnresponsive();

    /** Closes connections to engines that have been idle past their timeout. */
    void closeIdleEngineConnections();

    /**
     * Puts an engine under maintenance, or releases it.
     *
     * @param underMaintenance true: the engine gets no requests from now on; false: it gets requests again
     * @param sinceMs when the operator gave the order, in Unix milliseconds
     */
    void setMaintenance(String engine, boolean underMaintenance, double sinceMs);

    /** Returns the coordinator of this server's requests. */
    Coordinator<?> coordinator();

    /** Returns whether no request is open and every response has been written. */
    boolean isDrained();
}
