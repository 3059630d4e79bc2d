package lineward.app;

import lineward.discovery.DiscoveryClient;
import lineward.discovery.EndpointList;

/** Wires service discovery: polls for endpoints, and reloads the address of the service on SIGHUP. */
final class DiscoveryWiring {
    /** Coarse, because each tick wakes up the event loop. */
    private static final int TICK_INTERVAL_MS = 20;

    private final FrontEndContext context;
    /** Null until {@link #createClient}; used on the event loop. */
    private DiscoveryClient client;
    /** Whether SIGHUP was received, possibly before there is a client; used on the event loop. */
    private boolean reloadRequested;

    DiscoveryWiring(FrontEndContext context) {
        this.context = context;
    }

    /**
     * Creates a client that polls service discovery from the start of the front end on.
     *
     * @param address address of service discovery
     * @param file the file from which a reload reads the address
     * @param endpoints updated by the polls
     */
    void createClient(String address, PlatformConfigFile file, EndpointList endpoints) {
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
        context.metrics().setEndpointListAge(client::lastResponseAgeMs);
        context.startActions().add(this::startPolling);
    }

    private void startPolling() {
        // Polls once before clients are accepted: the first poll loads classes, which would delay requests.
        context.runOnEventLoop(client::tick);
        context.ticker().every(TICK_INTERVAL_MS, client::tick);
    }

    /** Reads the address of the service again. May be called on any thread, even during the start. */
    void reloadAddress() {
        context.eventLoop().execute(() -> {
            reloadRequested = true;
            if (client != null) {
                client.reloadAddress();
            }
        });
    }
}
