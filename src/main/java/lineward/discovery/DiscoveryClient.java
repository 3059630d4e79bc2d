package lineward.discovery;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the endpoint list up to date by long polling of service discovery: performs the steps that {@link
 * PollPolicy} requests and reports their results to it. All methods are called on the event loop; only the
 * reads of the configuration file run on another thread.
 */
public final class DiscoveryClient {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final EndpointList list;
    private final DoubleSupplier clock;
    private final PollPolicy policy;
    private final PollTransport transport;
    private final AddressFileReader fileReader;
    private final PollStep.Handler stepHandler = new StepHandler();
    private final AddressFileReader.Listener fileListener = new FileListener();

    /**
     * Creates a client, which does no I/O before the first call of {@link #tick}.
     *
     * @param loop event loop on which the methods are called
     * @param address address of service discovery, as {@code host:port}
     * @param file reads the configuration file and returns the address; called on a separate thread; throws
     *     a runtime exception with a one-line message on failure
     * @param clock monotonic clock in milliseconds
     */
    public DiscoveryClient(
            EventLoop loop, String address, EndpointList list, Supplier<String> file, DoubleSupplier clock) {
        this.list = list;
        this.clock = clock;
        policy = new PollPolicy(address, clock.getAsDouble());
        transport = new PollTransport(loop, new TransportListener());
        fileReader = new AddressFileReader(loop, file);
    }

    /** Performs the steps that are due; called every few milliseconds. */
    public void tick() {
        perform(policy.tick(clock.getAsDouble()));
    }

    /** Handles SIGHUP: reads the file, with retries until a read succeeds, and polls the address in it. */
    public void reloadAddress() {
        policy.reloadAddress(clock.getAsDouble());
        tick();
    }

    /** Returns the milliseconds since the last valid response, or since the start if there was none. */
    public long lastResponseAgeMs() {
        return Math.round(policy.lastResponseAgeMs(clock.getAsDouble()));
    }

    private void perform(List<PollStep> steps) {
        for (PollStep step : steps) {
            step.dispatchTo(stepHandler);
        }
    }

    private final class StepHandler implements PollStep.Handler {
        @Override
        public void connect(PollStep.Connect step) {
            transport.connect(step.connectionNumber(), step.address());
        }

        @Override
        public void sendPoll(PollStep.SendPoll step) {
            String uri = JournalFormat.pollUri(list.lastEventNumber(), PollPolicy.LONG_POLL_TIMEOUT_MS);
            transport.sendRequest(step.connectionNumber(), uri);
        }

        @Override
        public void close(PollStep.Close step) {
            transport.close(step.connectionNumber());
        }

        @Override
        public void readFile(PollStep.ReadFile step) {
            fileReader.read(fileListener);
        }

        @Override
        public void warnNoResponse(PollStep.WarnNoResponse step) {
            LOG.warn(
                    "no usable response from service discovery: address={} silentMs={} cause={}",
                    step.address(),
                    Math.round(step.lastResponseAgeMs()),
                    step.lastFault());
        }
    }

    private final class FileListener implements AddressFileReader.Listener {
        /** Reason of the last failed read, so that its retries do not log it again; null after a success. */
        private String lastFailureReason;

        @Override
        public void addressRead(String address) {
            lastFailureReason = null;
            if (!address.equals(policy.address())) {
                LOG.info("service discovery address changed: address={}", address);
            }
            perform(policy.fileReadSucceeded(address, clock.getAsDouble()));
        }

        @Override
        public void readFailed(String reason) {
            if (!reason.equals(lastFailureReason)) {
                lastFailureReason = reason;
                LOG.warn("configuration not reloaded: cause={}", reason);
            }
            policy.fileReadFailed(clock.getAsDouble());
        }
    }

    private final class TransportListener implements PollTransport.Listener {
        @Override
        public void connected(int connectionNumber) {
            perform(policy.connected(connectionNumber, clock.getAsDouble()));
        }

        @Override
        public void responded(int connectionNumber, FullHttpResponse response) throws IOException {
            if (!policy.isOpen(connectionNumber)) {
                return;
            }
            if (!response.status().equals(HttpResponseStatus.OK)) {
                String status = response.status().toString();
                transport.abort(connectionNumber, PollFault.httpStatus(status));
                return;
            }
            long previousEventNumber = list.lastEventNumber();
            try (InputStream content = new ByteBufInputStream(response.content())) {
                list.apply(JSON.readTree(content));
            }
            boolean hasNewEvent = list.lastEventNumber() != previousEventNumber;
            PollResponse pollResponse = new PollResponse(hasNewEvent, !HttpUtil.isKeepAlive(response));
            perform(policy.responded(connectionNumber, pollResponse, clock.getAsDouble()));
        }

        @Override
        public void failed(int connectionNumber, PollFault fault) {
            policy.failed(connectionNumber, fault, clock.getAsDouble());
        }
    }
}
