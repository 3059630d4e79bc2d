package lineward.core;

/**
 * Executes the commands of a coordinator, with one method per type of command. A forwarder makes no
 * scheduling decisions. Called on the event loop.
 *
 * @param <X> the protocol's representation of a request
 */
public interface Forwarder<X> {
    /** Starts an attempt and reports its end to {@link Coordinator#attemptEnded}. */
    void startAttempt(Command.StartAttempt<X> command);

    /** Cancels an attempt. */
    void cancelAttempt(Command.CancelAttempt<X> command);

    /** Sends the engine the new priority of an attempt. */
    void changePriority(Command.ChangePriority<X> command);

    /**
     * Checks an engine's health and reports the result to {@link Coordinator#healthCheckCompleted}. Nothing
     * needs to be reported if the engine does not answer, because the coordinator sets a timeout.
     */
    void checkHealth(Command.CheckHealth<X> command);

    /**
     * Sends a gossip message to the other front ends of the tier, which pass it to their {@link
     * Coordinator#gossipReceived}.
     */
    void broadcastGossip(Command.BroadcastGossip<X> command);

    /** Tells the client that its request was rejected. */
    void reject(Command.Reject<X> command);

    /** Tells the client that its request failed. */
    void fail(Command.Fail<X> command);
}
