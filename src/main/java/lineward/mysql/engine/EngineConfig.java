package lineward.mysql.engine;

import java.net.InetSocketAddress;
import lineward.scheduling.EndpointState;

/**
 * The configuration of one engine.
 *
 * @param name unique name of the engine
 * @param user user name for logging in to the engine
 * @param password password for logging in to the engine
 * @param cores number of the engine's cores, which determines its concurrency limit
 * @param state whether new attempts may be started on the engine
 */
public record EngineConfig(
        String name,
        InetSocketAddress address,
        String user,
        String password,
        int cores, // must be positive
        EndpointState state) {}
