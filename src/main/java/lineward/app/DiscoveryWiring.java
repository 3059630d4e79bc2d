package lineward.app;

import lineward.discovery.DiscoveryClient;
import lineward.discovery.EndpointList;

/** Wires service discovery: polls for endpoints, and a reload of the service's address on SIGHUP. */
final class DiscoveryWiring {
    /** A poll needs no finer clock, and each tick wakes the event loop. */
    private static final int TICK_INTERVAL_MS = 20;

    private final FrontEndContext context;
    /** Null until the start has come so far; used on the event loop. */
    private DiscoveryClient client;
    /** Whether a SIGHUP came before there was a client; used on the event loop. */
    private boolean reloadRequested;

    DiscoveryWiring(FrontEndContext context) {
        this.context = context;
    }

    /** Polls the service at that address; a reload reads the address from the file again. */
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
        // What the first poll loads must not delay the first client, so it runs before any is accepted.
        context.runOnEventLoop(client::tick);
        context.ticker().every(TICK_INTERVAL_MS, client::tick);
    }

    /** Reads the service's address again; may be called on any thread and while the front end starts. */
    void reloadAddress() {
        context.eventLoop().execute(() -> {
            reloadRequested = true;
            if (client != null) {
                client.reloadAddress();
            }
        });
    }
}
