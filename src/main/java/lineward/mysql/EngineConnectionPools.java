package lineward.mysql;

import io.netty.bootstrap.Bootstrap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.EndpointState;

/** The connection pools of all engines, as the configuration last named them. Used by one event loop only. */
final class EngineConnectionPools {
    private final Bootstrap bootstrap;
    private final MysqlConfig.Bounds bounds;
    private final Map<String, EngineConnectionPool> byName = new HashMap<>();

    /** @param bootstrap opens the connections */
    EngineConnectionPools(Bootstrap bootstrap, MysqlConfig.Bounds bounds) {
        this.bootstrap = bootstrap;
        this.bounds = bounds;
    }

    /** Takes in the engines as the configuration now has them; the pools of all others are drained. */
    void update(List<MysqlConfig.Engine> engines) {
        engines.forEach(this::update);
        Set<String> names = engines.stream().map(MysqlConfig.Engine::name).collect(Collectors.toSet());
        for (EngineConnectionPool pool : byName.values()) {
            if (!names.contains(pool.name())) {
                pool.drain();
            }
        }
    }

    private void update(MysqlConfig.Engine engine) {
        EngineConnectionPool pool = byName.get(engine.name());
        boolean hasMoved = pool != null && !pool.engine().address().equals(engine.address());
        if (hasMoved) {
            pool.drain();
        }
        if (pool == null || hasMoved) {
            pool = new EngineConnectionPool(bootstrap, engine, bounds);
            byName.put(engine.name(), pool);
        }
        if (engine.state() == EndpointState.READY) {
            pool.reopen();
        } else {
            pool.drain();
        }
    }

    /** Starts the attempt at that engine; it fails if the engine is gone and its connections are closed. */
    void start(String engine, QueryAttempt attempt) {
        EngineConnectionPool pool = byName.get(engine);
        if (pool == null) {
            attempt.end(AttemptOutcome.CONNECT_FAILED);
        } else {
            pool.start(attempt);
        }
    }

    /** Rejects the engine's attempts whose command has not been sent, and closes its idle connections. */
    void rejectUnsent(String engine) {
        EngineConnectionPool pool = byName.get(engine);
        if (pool != null) {
            pool.rejectUnsent();
        }
    }

    /** Closes connections idle since before that {@link System#nanoTime}, and removes drained pools. */
    void closeIdleSince(long nanoTime) {
        byName.values().forEach(pool -> pool.closeIdleSince(nanoTime));
        byName.values().removeIf(EngineConnectionPool::isDrained);
    }

    int size() {
        return byName.size();
    }
}
