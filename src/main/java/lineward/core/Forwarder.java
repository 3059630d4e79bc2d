package lineward.core;

/**
 * Carries out what a planner asks for and decides nothing itself.
 *
 * @param <X> the front's own record of a request
 */
public interface Forwarder<X> {
    /** Starts an attempt; its end goes to {@link Planner#ended}. */
    void start(Command.Start<X> command);

    /** Gives an attempt up. */
    void stop(Command.Stop<X> command);

    /** Tells the engine of a new priority. */
    void reprioritise(Command.Reprioritise<X> command);

    /** Asks an engine how it is; its answer goes to {@link Planner#probed}, silence nowhere. */
    void probe(Command.Probe<X> command);

    /** Sends bytes to the other front ends; what they say goes to {@link Planner#heard}. */
    void announce(Command.Announce<X> command);

    /** Gives the final answer 'refused'. */
    void refuse(Command.Refuse<X> command);

    /** Gives the final answer 'failed'. */
    void fail(Command.Fail<X> command);

    /** Carries one command out. */
    default void perform(Command<X> command) {
        if (command instanceof Command.Start<X> c) {
            start(c);
        } else if (command instanceof Command.Stop<X> c) {
            stop(c);
        } else if (command instanceof Command.Reprioritise<X> c) {
            reprioritise(c);
        } else if (command instanceof Command.Probe<X> c) {
            probe(c);
        } else if (command instanceof Command.Announce<X> c) {
            announce(c);
        } else if (command instanceof Command.Refuse<X> c) {
            refuse(c);
        } else if (command instanceof Command.Fail<X> c) {
            fail(c);
        }
    }
}
