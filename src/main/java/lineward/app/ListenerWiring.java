package lineward.app;

import java.net.InetSocketAddress;
import java.util.Map;
import lineward.frontend.Listener;
import lineward.lifecycle.InheritedListener;

/**
 * Wires the listening socket for clients of the platform's protocol.
 *
 * @param isInherited whether the socket is inherited, so that other processes accept on it too
 */
record ListenerWiring(Listener listener, boolean isInherited) {
    private static final String INHERITED_DESCRIPTOR_VARIABLE = "RELAY_ACCEPT_FD";

    /**
     * Returns a listener on the inherited socket if the environment names one, otherwise on a new socket.
     *
     * @param address address of the new socket
     * @throws ConfigException if the inherited descriptor can't be used
     */
    static ListenerWiring open(InetSocketAddress address, Map<String, String> environment) {
        String descriptor = environment.getOrDefault(INHERITED_DESCRIPTOR_VARIABLE, "");
        if (descriptor.isBlank()) {
            return new ListenerWiring(Listener.at(address), false);
        }
        try {
            return new ListenerWiring(InheritedListener.fromDescriptor(descriptor), true);
        } catch (IllegalArgumentException e) {
            throw ConfigException.unusable(INHERITED_DESCRIPTOR_VARIABLE + ": " + e.getMessage(), e);
        }
    }
}
