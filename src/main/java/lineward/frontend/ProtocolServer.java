package lineward.frontend;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import lineward.core.Coordinator;
import lineward.scheduling.decision.ServerAdmissionPolicy;

/** A client protocol as the program steers it. All but {@link #listen} runs on the event loop. */
public interface ProtocolServer {
    /** Starts to listen. */
    ChannelFuture listen(EventLoopGroup loop);

    /** Lets the scheduler decide on what has arrived, and carries its commands out. */
    void tick();

    /** Sets how clients are met from now on. */
    void setAdmission(ServerAdmissionPolicy.Phase phase);

    /** Bounds the time of requests that arrive from now on, whatever deadline their clients set. */
    void setShutdownDeadline(int deadlineMs);

    /** Fails all open requests, where the process is about to be killed. */
    void failOpenRequests();

    /** Closes the listening socket, or leaves it to the processes that share it. */
    void stopListening();

    /**
     * Closes idle connections, each with this probability.
     *
     * @param probability in [0, 1]; 1 closes all
     */
    void closeIdleClients(double probability);

    /** Closes connections that are silent or whose message stays incomplete; called ten times a second. */
    void closeUnresponsive();

    /** Closes connections to engines that have been idle for long. */
    void closeIdleEngineConnections();

    /**
     * Carries out an operator's order on an engine.
     *
     * @param excluded true: the engine gets no requests from now on; false: it is used again
     * @param sinceMs when the order was given, in Unix milliseconds
     */
    void setMaintenance(String engine, boolean excluded, double sinceMs);

    /** Returns the coordinator of this server's requests. */
    Coordinator<?> coordinator();

    /** Returns whether no request is open and every response has been written. */
    boolean isDrained();
}
