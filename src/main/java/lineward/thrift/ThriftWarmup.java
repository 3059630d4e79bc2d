package lineward.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import lineward.core.Coordinator;
import lineward.core.EngineEndpoint;
import lineward.engine.EngineCluster;
import lineward.operations.Metrics;
import lineward.scheduling.EndpointState;
import lineward.thrift.ThriftServer.Services;

/**
 * Runs requests through a server without sockets or engines before the program listens, so that the JVM loads
 * and compiles the code. This would otherwise delay the first request by many milliseconds.
 */
public final class ThriftWarmup {
    private static final int REQUESTS = 60;
    /** Below the maximum number of open calls on a connection, because queued requests stay open. */
    private static final int REQUESTS_PER_CONNECTION = 25;

    private static final int TIME_LEFT_MS = 2_000;
    private static final String STATEMENT = "select a from warmup_1.t where b = 'c'";

    private ThriftWarmup() {}

    /**
     * Runs the requests. Called once, on the event loop.
     *
     * @param coordinator used for the warm-up only
     * @param engines a cluster without engines, in which attempts end at once
     * @param clock monotonic time in milliseconds
     */
    public static void run(
            ThriftServer.Names names,
            ThriftServer.Bounds bounds,
            Coordinator<Call> coordinator,
            EngineCluster engines,
            DoubleSupplier clock) {
        coordinator.endpointsChanged(
                true, List.of(new EngineEndpoint("warmup", "", 0, 1, 0, EndpointState.READY, 0, 0)));
        Services services = new Services(clock, () -> {}, new Metrics(), datagram -> {});
        ThriftServer server = new ThriftServer(names, bounds, null, coordinator, engines, services);
        EmbeddedChannel channel = new EmbeddedChannel(server.clientHandlers());
        for (int number = 1; number <= REQUESTS; number++) {
            if (number % REQUESTS_PER_CONNECTION == 0) {
                close(channel);
                channel = new EmbeddedChannel(server.clientHandlers());
            }
            Map<CallField, String> fields = fields(names, number);
            channel.writeInbound(ThriftWriter.invocation(channel.alloc(), number, fields, STATEMENT));
            server.tick();
            server.tick();
            releaseResponses(channel);
        }
        close(channel);
        server.tick();
    }

    private static Map<CallField, String> fields(ThriftServer.Names names, int number) {
        String requestClass = names.classes().get(number % names.classes().size());
        String tenant = names.tenants().isEmpty() ? "" : names.tenants().get(0);
        return Map.of(
                CallField.REQUEST_CLASS,
                requestClass,
                CallField.ID,
                String.format("%016x", number),
                CallField.TIME_LEFT_MS,
                Integer.toString(TIME_LEFT_MS),
                CallField.TENANT,
                tenant);
    }

    private static void releaseResponses(EmbeddedChannel channel) {
        for (ByteBuf response = channel.readOutbound(); response != null; response = channel.readOutbound()) {
            response.release();
        }
    }

    private static void close(EmbeddedChannel channel) {
        ChannelFuture unused = channel.close();
    }
}
