package lineward.mysql.engine;

import io.netty.bootstrap.Bootstrap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.EndpointState;

/** The connection pools of all configured engines. Confined to the event loop. */
public final class EngineConnectionPools {
    private final Bootstrap bootstrap;
    private final ConnectionLimits limits;
    private final Map<String, EngineConnectionPool> byName = new HashMap<>();

    /** @param bootstrap the event loop and the options of all connections */
    public EngineConnectionPools(Bootstrap bootstrap, ConnectionLimits limits) {
        this.bootstrap = bootstrap;
        this.limits = limits;
    }

    /** Applies the list of configured engines; the pools of engines that are not listed are drained. */
    public void update(List<EngineConfig> engines) {
        engines.forEach(this::update);
        Set<String> names = engines.stream().map(EngineConfig::name).collect(Collectors.toSet());
        for (EngineConnectionPool pool : byName.values()) {
            if (!names.contains(pool.name())) {
                pool.drain();
            }
        }
    }

    private void update(EngineConfig engine) {
        EngineConnectionPool pool = byName.get(engine.name());
        boolean addressChanged = pool != null && !pool.engine().address().equals(engine.address());
        if (addressChanged) {
            pool.drain();
        }
        if (pool == null || addressChanged) {
            pool = new EngineConnectionPool(bootstrap, engine, limits);
            byName.put(engine.name(), pool);
        }
        if (engine.state() == EndpointState.READY) {
            pool.reopen();
        } else {
            pool.drain();
        }
    }

    /**
     * Starts the attempt on the engine. It fails if the engine has no pool, either because it has never been
     * configured or because it was removed and its pool has been drained.
     */
    public void start(String engine, MysqlQueryAttempt attempt) {
        EngineConnectionPool pool = byName.get(engine);
        if (pool == null) {
            attempt.end(AttemptOutcome.CONNECT_FAILED);
        } else {
            pool.start(attempt);
        }
    }

    /** Rejects the engine's attempts whose command has not been sent, and closes its idle connections. */
    public void rejectUnsent(String engine) {
        EngineConnectionPool pool = byName.get(engine);
        if (pool != null) {
            pool.rejectUnsent();
        }
    }

    /** Closes connections idle since before this {@link System#nanoTime}, and removes drained pools. */
    public void closeIdleSince(long nanoTime) {
        byName.values().forEach(pool -> pool.closeIdleSince(nanoTime));
        byName.values().removeIf(EngineConnectionPool::isDrained);
    }

    /** Returns the number of pools. */
    public int size() {
        return byName.size();
    }
}
