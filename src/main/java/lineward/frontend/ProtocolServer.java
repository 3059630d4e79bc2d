package lineward.frontend;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import lineward.core.Coordinator;

/** What the program asks of each front. All but listening runs on the event loop. */
public interface ProtocolServer {
    /** How a front meets its clients. */
    enum Admission {
        /** It serves all that come. */
        OPEN,
        /** It serves all that come, but asks for no new clients. */
        DRAINING,
        /** It refuses new requests and answers what it has taken. */
        REJECTING
    }

    /** Starts to listen. */
    ChannelFuture listen(EventLoopGroup loop);

    /** Lets the planner decide on what came in and carries its commands out. */
    void tick();

    /** From now on the front meets its clients so. */
    void setAdmission(Admission intake);

    /** What is taken from now on has so long at most, whatever its client says. */
    void setShutdownDeadline(int ms);

    /** Fails what is still open where the process is about to be killed. */
    void failOpenRequests();

    /** Closes the listener. */
    void stopListening();

    /** Closes each connection whose client waits for nothing with that chance; 1 closes all. */
    void closeIdleClients(double chance);

    /** Closes connections that say nothing, or not the rest of what they began; comes ten times a second. */
    void closeUnresponsive();

    /** Closes connections to engines that have been idle for long. */
    void closeIdleEngineConnections();

    /** By order an engine gets nothing from now on, or is used again; at tells when that was said. */
    void setMaintenance(String engine, boolean out, double at);

    /** Returns what decides for this front. */
    Coordinator<?> coordinator();

    /** Returns whether nobody is owed an answer and every answer has been written. */
    boolean isDrained();
}
