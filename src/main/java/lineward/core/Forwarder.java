package lineward.core;

/**
 * Executes the commands of a coordinator, one method for each type. It is called on the event loop and holds
 * no decision of its own.
 *
 * @param <X> the protocol's own record of a request
 */
public interface Forwarder<X> {
    /** Starts an attempt; its end goes to {@link Coordinator#attemptEnded}. */
    void startAttempt(Command.StartAttempt<X> command);

    /** Cancels an attempt. */
    void cancelAttempt(Command.CancelAttempt<X> command);

    /** Sends the engine a new priority. */
    void changePriority(Command.ChangePriority<X> command);

    /**
     * Checks an engine's health. The answer goes to {@link Coordinator#healthCheckCompleted}; without an
     * answer nothing is reported, because the coordinator has a timeout for the check.
     */
    void checkHealth(Command.CheckHealth<X> command);

    /** Sends bytes to the other front ends, whose own go to {@link Coordinator#gossipReceived}. */
    void broadcastGossip(Command.BroadcastGossip<X> command);

    /** Answers the request as rejected. */
    void reject(Command.Reject<X> command);

    /** Answers the request as failed. */
    void fail(Command.Fail<X> command);
}
