package lineward.core;

/**
 * Carries out what a coordinator asks for and decides nothing itself.
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
     * Checks an engine's health; its answer goes to {@link Coordinator#healthCheckCompleted}, silence
     * nowhere.
     */
    void checkHealth(Command.CheckHealth<X> command);

    /** Sends bytes to the other front ends; theirs go to {@link Coordinator#gossipReceived}. */
    void broadcastGossip(Command.BroadcastGossip<X> command);

    /** Gives the final answer 'rejected'. */
    void reject(Command.Reject<X> command);

    /** Gives the final answer 'failed'. */
    void fail(Command.Fail<X> command);
}
