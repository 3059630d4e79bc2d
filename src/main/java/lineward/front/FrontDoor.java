package lineward.front;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;

/** What the program asks of each front. All but listening runs on the event loop. */
public interface FrontDoor {
    /** Starts to listen. */
    ChannelFuture listen(EventLoopGroup loop);

    /** Lets the planner decide on what came in and carries its commands out. */
    void tick();

    /** From now on the front asks for no new clients, but serves all that come. */
    void drain();

    /** Fails what is still open where the process is about to be killed. */
    void lastWord();

    /** Closes the listener and the connections of clients that wait for nothing. */
    void closeIdleClients();

    /** Closes connections that say nothing, or not the rest of what they began; comes ten times a second. */
    void closeSilent();

    /** Closes connections to engines that have been idle for long. */
    void closeIdleEngines();

    /** @return whether nobody is owed an answer and every answer has been written */
    boolean isQuiet();
}
