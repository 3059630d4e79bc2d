package lineward.app;

import lineward.discovery.DiscoveryClient;
import lineward.discovery.EndpointList;

/** Wires service discovery: polls for endpoints, and a reload of the service's address on SIGHUP. */
final class DiscoveryWiring {
    /** Coarse, as each tick wakes up the event loop. */
    private static final int TICK_INTERVAL_MS = 20;

    private final FrontEndContext context;
    /** Null until {@link #follow}; used on the event loop. */
    private DiscoveryClient client;
    /** Whether SIGHUP has come, which may be before there is a client; used on the event loop. */
    private boolean reloadRequested;

    DiscoveryWiring(FrontEndContext context) {
        this.context = context;
    }

    /** Polls service discovery at this address; a reload reads the address from the file again. */
    void follow(String address, ConfigFile file, EndpointList endpoints) {
        context.runOnEventLoop(() -> {
            client = new DiscoveryClient(
                    context.eventLoop(),
                    address,
                    endpoints,
                    () -> file.read().addresses().discovery(),
                    context.clock());
            if (reloadRequested) {
                client.reloadAddress();
            }
        });
        context.metrics().setListAge(client::ageMs);
        context.startActions().add(this::startPolling);
    }

    private void startPolling() {
        // Runs the first poll before clients are accepted, as it loads classes and would delay them.
        context.runOnEventLoop(client::tick);
        context.ticker().every(TICK_INTERVAL_MS, client::tick);
    }

    /** Reads the service's address again; may be called on any thread, also during the start. */
    void reloadAddress() {
        context.eventLoop().execute(() -> {
            reloadRequested = true;
            if (client != null) {
                client.reloadAddress();
            }
        });
    }
}
