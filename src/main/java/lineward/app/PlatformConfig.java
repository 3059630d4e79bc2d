package lineward.app;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import lineward.scheduling.SchedulerSettings;

/**
 * The configuration of a front end of the platform. Immutable.
 *
 * @param name name of this front end
 * @param seed seed of the scheduler's random numbers
 * @param settings settings of the scheduler
 * @param initialEndpoints discovery events that are applied before the start, in the wire format of service
 *     discovery
 */
record PlatformConfig(
        String name,
        Addresses addresses,
        long seed,
        Resources resources,
        EngineConnections engineConnections,
        Names names,
        SchedulerSettings settings,
        ConfigNode initialEndpoints) {

    /**
     * The addresses on which the process listens, and to which it connects.
     *
     * @param listen listen address for clients
     * @param discovery address of service discovery, as HOST:PORT
     * @param admin listen address of the admin endpoint; null if there is none
     * @param gossip addresses of the gossip between the front ends of the tier; null if there is none
     */
    record Addresses(InetSocketAddress listen, String discovery, InetSocketAddress admin, Gossip gossip) {}

    /**
     * The addresses of gossip between the front ends of a tier.
     *
     * @param listen address on which messages from the others arrive
     * @param peers number of each front end of the tier, by the address from which it sends
     * @param group broadcast address, which reaches all others
     */
    record Gossip(InetSocketAddress listen, Map<InetSocketAddress, Integer> peers, InetSocketAddress group) {}

    /** The resources that the process may use: memory in megabytes and open file descriptors. */
    record Resources(int memoryMb, int descriptors) {}

    /**
     * The limits on connections to engines.
     *
     * @param connectTimeoutMs time after which a connection that is not established is overdue
     * @param engineIdleTimeoutMs time after which engines close an idle connection
     * @param attemptsPerConnection maximum number of concurrent attempts on one connection
     */
    record EngineConnections(int connectTimeoutMs, double engineIdleTimeoutMs, int attemptsPerConnection) {}

    /** The names in requests and discovery events, each list in the order of the settings. */
    record Names(List<String> classes, List<String> tenants, List<String> engineKinds, List<String> zones) {}

    /** Returns the deadlines of the classes in milliseconds, in the order of the settings. */
    List<Double> deadlinesMs() {
        return settings.classes().stream()
                .map(requestClass -> requestClass.objective().deadlineMs())
                .toList();
    }
}
