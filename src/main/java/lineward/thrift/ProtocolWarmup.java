package lineward.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import lineward.core.Coordinator;
import lineward.core.EngineEndpoint;
import lineward.engine.EngineCluster;
import lineward.operations.Metrics;
import lineward.scheduling.EndpointState;

/**
 * Plays requests through a front of its own, with no socket and no engine, before the program listens. A cold
 * virtual machine took some 80 ms for its first request: enough to answer a short one too late.
 */
public final class ProtocolWarmup {
    private static final int ROUNDS = 60;
    private static final int CALLS = 25;
    private static final int TTL_MS = 2_000;

    private ProtocolWarmup() {}

    /**
     * @param planner of the rehearsal alone
     * @param fleet with no engine in it: attempts end at once
     */
    public static void run(
            ThriftServer.Names names,
            ThriftServer.Bounds bounds,
            Coordinator<Call> planner,
            EngineCluster fleet,
            DoubleSupplier clock) {
        planner.endpointsChanged(
                true, List.of(new EngineEndpoint("rehearsal", "", 0, 1, 0, EndpointState.READY, 0, 0)));
        ThriftServer front =
                new ThriftServer(names, bounds, null, planner, fleet, clock, () -> {}, new Metrics(), octets -> {});
        EmbeddedChannel channel = new EmbeddedChannel(front.handlers());
        for (int i = 1; i <= ROUNDS; i++) {
            // What the planner holds back stays open, and a connection carries only so many.
            if (i % CALLS == 0) {
                channel.close();
                channel = new EmbeddedChannel(front.handlers());
            }
            channel.writeInbound(ThriftWriter.invocation(
                    channel.alloc(),
                    i,
                    Map.of(
                            "op",
                            names.classes().get(i % names.classes().size()),
                            "call",
                            String.format("%016x", i),
                            "ttl",
                            Integer.toString(TTL_MS),
                            "org",
                            names.tenants().isEmpty() ? "" : names.tenants().get(0)),
                    "select a from rehearsal_1.t where b = 'c'"));
            front.tick();
            front.tick();
            for (ByteBuf answer = channel.readOutbound(); answer != null; answer = channel.readOutbound()) {
                answer.release();
            }
        }
        channel.close();
        front.tick();
    }
}
