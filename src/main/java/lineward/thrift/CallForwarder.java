package lineward.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import lineward.core.Command;
import lineward.core.Coordinator;
import lineward.core.Forwarder;
import lineward.engine.EngineCluster;
import lineward.engine.QueryAttempt;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.ProgressKind;

/** Carries out the coordinator's commands: attempts at engines, and final responses to clients. */
final class CallForwarder implements Forwarder<Call> {
    private final Coordinator<Call> coordinator;
    private final EngineCluster engines;
    private final OpenCalls calls;
    private final DoubleSupplier clock;
    private final Runnable wakeUp;
    private final Consumer<byte[]> gossip;

    /**
     * @param clock milliseconds
     * @param wakeUp is called when the coordinator has something to decide on
     * @param gossip sends a datagram to the other front ends
     */
    CallForwarder(
            Coordinator<Call> coordinator,
            EngineCluster engines,
            OpenCalls calls,
            DoubleSupplier clock,
            Runnable wakeUp,
            Consumer<byte[]> gossip) {
        this.coordinator = coordinator;
        this.engines = engines;
        this.calls = calls;
        this.clock = clock;
        this.wakeUp = wakeUp;
        this.gossip = gossip;
    }

    /** Lets the coordinator decide, and carries its commands out. */
    void tick() {
        coordinator.tick(clock.getAsDouble()).forEach(command -> command.executeBy(this));
    }

    @Override
    public void startAttempt(Command.StartAttempt<Call> command) {
        Call call = command.exchange();
        QueryAttempt attempt = new QueryAttempt(
                call.id(),
                call.op(),
                call.statement(),
                new QueryAttempt.Timing(command.timeoutMs(), command.startWithinMs()),
                command.grantMb(),
                command.priority(),
                new AttemptListener(call, command.attempt()));
        call.attemptStarted(command.attempt(), attempt);
        engines.start(command.engine(), attempt);
    }

    @Override
    public void cancelAttempt(Command.CancelAttempt<Call> command) {
        QueryAttempt attempt = command.exchange().attempt(command.attempt());
        if (attempt != null) {
            engines.cancel(command.engine(), attempt);
        }
    }

    @Override
    public void changePriority(Command.ChangePriority<Call> command) {
        QueryAttempt attempt = command.exchange().attempt(command.attempt());
        if (attempt != null) {
            engines.changePriority(command.engine(), attempt, command.priority());
        }
    }

    @Override
    public void checkHealth(Command.CheckHealth<Call> command) {
        engines.checkHealth(command.engine(), (outcome, report) -> {
            coordinator.healthCheckCompleted(clock.getAsDouble(), command.engine(), outcome, report);
            wakeUp.run();
        });
    }

    @Override
    public void broadcastGossip(Command.BroadcastGossip<Call> command) {
        gossip.accept(command.payload());
    }

    @Override
    public void reject(Command.Reject<Call> command) {
        Call call = command.exchange();
        long retryAfterMs = command.retryAfterMs();
        respond(call, ThriftWriter.overloaded(allocator(call), call.sequenceNumber(), retryAfterMs));
    }

    @Override
    public void fail(Command.Fail<Call> command) {
        Call call = command.exchange();
        respond(call, ThriftWriter.internalError(allocator(call), call.sequenceNumber()));
    }

    private void respond(Call call, ByteBuf response) {
        call.client().respond(call, response);
        calls.complete(call);
    }

    private static ByteBufAllocator allocator(Call call) {
        return call.client().channel().alloc();
    }

    /** Reports to the coordinator how an attempt goes, and gives the client the result that it accepts. */
    private final class AttemptListener implements QueryAttempt.Listener {
        private final Call call;
        private final int attemptNumber;

        AttemptListener(Call call, int attemptNumber) {
            this.call = call;
            this.attemptNumber = attemptNumber;
        }

        @Override
        public void ended(AttemptOutcome outcome, ByteBuf result) {
            if (coordinator.attemptEnded(call.requestId(), attemptNumber, outcome)) {
                respond(call, ThriftWriter.result(allocator(call), call.sequenceNumber(), result));
            } else if (result != null) {
                result.release();
            }
            wakeUp.run();
        }

        @Override
        public void progressed(ProgressKind kind, double amount) {
            coordinator.attemptProgressed(call.requestId(), attemptNumber, kind, amount);
            wakeUp.run();
        }
    }
}
