package lineward.mysql.engine;

import java.net.InetSocketAddress;
import lineward.scheduling.EndpointState;

/**
 * The configuration of one engine.
 *
 * @param name unique among the engines
 * @param user user name for the login at the engine
 * @param password password for the login at the engine
 * @param cores number of cores, which determines the concurrency limit
 * @param state whether the engine accepts new statements
 */
public record EngineConfig(
        String name,
        InetSocketAddress address,
        String user,
        String password,
        int cores, // must be positive
        EndpointState state) {}
