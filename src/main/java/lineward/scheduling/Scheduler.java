package lineward.scheduling;

import java.util.List;

/**
 * Decides when and where each request of one pool of engines runs. It does no I/O and has no clock and no
 * threads of its own: events and the time come in, actions go out. Times are milliseconds, memory is
 * megabytes, engines and requests are named by opaque numbers.
 */
public interface Scheduler {

    /**
     * Decides on what has just happened.
     *
     * @param nowMs the clock, which is monotonic
     * @param events what has happened since the last call, in order of arrival; an event for an unknown
     *     request, attempt or engine is ignored
     * @return what to do now, in order
     */
    List<SchedulerAction> decide(double nowMs, List<? extends SchedulerEvent> events);

    /** Returns the number of listed engines that get no requests now, ejected or under maintenance. */
    int excludedEngines();
}
