package lineward.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.function.Consumer;
import lineward.core.Command;
import lineward.core.Forwarder;
import lineward.engine.EngineCluster;
import lineward.engine.QueryAttempt;
import lineward.frontend.CoordinatorDriver;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.ProgressKind;
import lineward.thrift.ThriftServer.Services;

/**
 * Executes the coordinator's commands: starts attempts at engines and sends final responses to clients. Used
 * on the event loop only.
 */
final class CallForwarder implements Forwarder<Call> {
    private final CoordinatorDriver<Call> driver;
    private final EngineCluster engines;
    private final OpenCalls calls;
    private final Consumer<byte[]> gossipSender;

    /** @param services used only for their sender of gossip datagrams */
    CallForwarder(CoordinatorDriver<Call> driver, EngineCluster engines, OpenCalls calls, Services services) {
        this.driver = driver;
        this.engines = engines;
        this.calls = calls;
        this.gossipSender = services.gossipSender();
    }

    @Override
    public void startAttempt(Command.StartAttempt<Call> command) {
        Call call = command.protocolRequest();
        QueryAttempt attempt = new QueryAttempt(
                call.id(),
                call.requestClass(),
                call.statement(),
                new QueryAttempt.TimeLimits(command.timeoutMs(), command.startWithinMs()),
                command.grantMb(),
                command.priority(),
                new AttemptListener(call, command.attempt()));
        call.attemptStarted(command.attempt(), attempt);
        engines.start(command.engineId(), attempt);
    }

    @Override
    public void cancelAttempt(Command.CancelAttempt<Call> command) {
        QueryAttempt attempt = command.protocolRequest().attempt(command.attemptNumber());
        if (attempt != null) {
            engines.cancel(command.engineId(), attempt);
        }
    }

    @Override
    public void changePriority(Command.ChangePriority<Call> command) {
        QueryAttempt attempt = command.protocolRequest().attempt(command.attemptNumber());
        if (attempt != null) {
            engines.changePriority(command.engineId(), attempt, command.priority());
        }
    }

    @Override
    public void checkHealth(Command.CheckHealth<Call> command) {
        String engine = command.engineId();
        EngineCluster.HealthCheckListener listener =
                (outcome, load) -> driver.healthCheckCompleted(engine, command.checkNumber(), outcome, load);
        engines.checkHealth(engine, listener);
    }

    @Override
    public void broadcastGossip(Command.BroadcastGossip<Call> command) {
        gossipSender.accept(command.payload());
    }

    @Override
    public void reject(Command.Reject<Call> command) {
        Call call = command.protocolRequest();
        long retryAfterMs = command.retryAfterMs();
        respond(call, ThriftWriter.overloaded(allocator(call), call.sequenceNumber(), retryAfterMs));
    }

    @Override
    public void fail(Command.Fail<Call> command) {
        Call call = command.protocolRequest();
        respond(call, ThriftWriter.internalError(allocator(call), call.sequenceNumber()));
    }

    private void respond(Call call, ByteBuf response) {
        call.client().respond(call, response);
        calls.complete(call);
    }

    private static ByteBufAllocator allocator(Call call) {
        return call.client().channel().alloc();
    }

    /**
     * Reports an attempt's progress and end to the coordinator, and sends the result to the client if the
     * coordinator accepts it.
     */
    private final class AttemptListener implements QueryAttempt.Listener {
        private final Call call;
        private final int attemptNumber;

        AttemptListener(Call call, int attemptNumber) {
            this.call = call;
            this.attemptNumber = attemptNumber;
        }

        @Override
        public void ended(AttemptOutcome outcome, ByteBuf result) {
            if (driver.attemptEnded(call.coordinatorRequestId(), attemptNumber, outcome)) {
                respond(call, ThriftWriter.result(allocator(call), call.sequenceNumber(), result));
            } else if (result != null) {
                result.release();
            }
        }

        @Override
        public void progressed(ProgressKind kind, double amount) {
            driver.attemptProgressed(call.coordinatorRequestId(), attemptNumber, kind, amount);
        }
    }
}
