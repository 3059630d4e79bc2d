package lineward.app;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import lineward.scheduling.SchedulerSettings;

/**
 * The configuration of a front end of the platform. Immutable.
 *
 * @param name of this front end
 * @param seed of the scheduler's random numbers
 * @param settings of the scheduler
 * @param initialEndpoints the discovery events that are known before the start, in the wire format of service
 *     discovery
 */
record Config(
        String name,
        Addresses addresses,
        long seed,
        Resources resources,
        EngineConnections engineConnections,
        Names names,
        SchedulerSettings settings,
        ConfigNode initialEndpoints) {

    /**
     * The addresses at which the process listens, and to which it connects.
     *
     * @param listen where clients connect
     * @param discovery HOST:PORT of service discovery
     * @param admin where the admin endpoint listens; null if there is none
     * @param gossip between the front ends of the tier; null if there is none
     */
    record Addresses(InetSocketAddress listen, String discovery, InetSocketAddress admin, Gossip gossip) {}

    /**
     * The addresses of gossip between the front ends of a tier.
     *
     * @param listen where messages from the others arrive
     * @param peers the number of each front end of the tier, by the address from which it sends
     * @param all the address that broadcasts to all others
     */
    record Gossip(InetSocketAddress listen, Map<InetSocketAddress, Integer> peers, InetSocketAddress all) {}

    /** The resources that the process may use: memory in megabytes and open file descriptors. */
    record Resources(int memoryMb, int descriptors) {}

    /**
     * The limits on connections to engines.
     *
     * @param connectTimeoutMs time after which a connection attempt counts as slow
     * @param idleMs time after which an engine closes an idle connection
     * @param streams maximum of concurrent attempts on one connection
     */
    record EngineConnections(int connectTimeoutMs, double idleMs, int streams) {}

    /** The names in requests and discovery events, each list in the order of the settings. */
    record Names(List<String> classes, List<String> tenants, List<String> engineKinds, List<String> zones) {}

    /** Returns the deadlines of the classes in milliseconds, in the order of the settings. */
    List<Double> deadlinesMs() {
        return settings.classes().stream()
                .map(requestClass -> requestClass.objective().deadlineMs())
                .toList();
    }
}
