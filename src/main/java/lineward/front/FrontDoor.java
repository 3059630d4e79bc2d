package lineward.front;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import lineward.core.Planner;

/** What the program asks of each front. All but listening runs on the event loop. */
public interface FrontDoor {
    /** How a front meets its clients. */
    enum Intake {
        /** It serves all that come. */
        OPEN,
        /** It serves all that come, but asks for no new clients. */
        LEAVING,
        /** It refuses new requests and answers what it has taken. */
        REFUSING
    }

    /** Starts to listen. */
    ChannelFuture listen(EventLoopGroup loop);

    /** Lets the planner decide on what came in and carries its commands out. */
    void tick();

    /** From now on the front meets its clients so. */
    void admit(Intake intake);

    /** What is taken from now on has so long at most, whatever its client says. */
    void endIn(int ms);

    /** Fails what is still open where the process is about to be killed. */
    void lastWord();

    /** Closes the listener. */
    void stopListening();

    /** Closes each connection whose client waits for nothing with that chance; 1 closes all. */
    void closeResting(double chance);

    /** Closes connections that say nothing, or not the rest of what they began; comes ten times a second. */
    void closeSilent();

    /** Closes connections to engines that have been idle for long. */
    void closeIdleEngines();

    /** By order an engine gets nothing from now on, or is used again; at tells when that was said. */
    void holdOut(String engine, boolean out, double at);

    /** @return what decides for this front */
    Planner<?> planner();

    /** @return whether nobody is owed an answer and every answer has been written */
    boolean isQuiet();
}
