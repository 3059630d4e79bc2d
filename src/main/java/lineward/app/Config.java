package lineward.app;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import lineward.scheduling.SchedulerSettings;

/**
 * The configuration of a front end of the platform.
 *
 * @param name of this front end
 * @param seed of the scheduler's random draws
 * @param settings of the scheduler
 * @param initialEndpoints the discovery events up to the start, in the form of the discovery service
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
     * Where the process listens and connects.
     *
     * @param listen where clients connect
     * @param discovery HOST:PORT of the discovery service
     * @param admin where the admin endpoint listens; null: there is none
     * @param gossip how the front ends of the tier talk; null: they do not
     */
    record Addresses(InetSocketAddress listen, String discovery, InetSocketAddress admin, Gossip gossip) {}

    /**
     * The datagrams between the front ends of a tier.
     *
     * @param listen where datagrams of the others arrive
     * @param peers the number of each front end of the tier, by the address it sends from
     * @param all where a datagram for all others goes
     */
    record Gossip(InetSocketAddress listen, Map<InetSocketAddress, Integer> peers, InetSocketAddress all) {}

    /** What the process may use of the machine: memory in megabytes and open file descriptors. */
    record Resources(int memoryMb, int descriptors) {}

    /**
     * The rules of connections to engines.
     *
     * @param connectTimeoutMs a connection that is not up by then is late
     * @param idleMs an engine closes a connection that has been idle for so long
     * @param streams attempts that one connection carries
     */
    record EngineConnections(int connectTimeoutMs, double idleMs, int streams) {}

    /** Names that requests and discovery events use, each list in the order of the settings. */
    record Names(List<String> classes, List<String> tenants, List<String> engineKinds, List<String> zones) {}

    /** Returns the deadlines of the classes in milliseconds, in the order of the settings. */
    List<Double> deadlinesMs() {
        return settings.classes().stream()
                .map(requestClass -> requestClass.objective().deadlineMs())
                .toList();
    }
}
