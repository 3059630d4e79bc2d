package lineward.scheduling;

import java.util.List;

/**
 * Decides when and where each request of one pool of engines runs. It does no I/O and has no clock and no
 * threads of its own: callers pass events and the current time, and carry out the actions returned. Times
 * are in milliseconds, memory is in megabytes, and engines and requests are identified by opaque numbers.
 */
public interface Scheduler {

    /**
     * Processes new events and decides what to do.
     *
     * @param nowMs the current time, which never goes back
     * @param events the events since the last call, in order of arrival; an event for an unknown request,
     *     attempt or engine is ignored
     * @return the actions to carry out now, in order
     */
    List<SchedulerAction> decide(double nowMs, List<? extends SchedulerEvent> events);

    /** Returns the number of listed engines that are ejected or under maintenance. */
    int excludedEngineCount();
}
