package lineward.testing;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** An engine's listening socket whose backlog is full: no connection is established until {@link #open}. */
public final class FullBacklogListener implements AutoCloseable {
    /** Time after which a connect that has not succeeded shows that the backlog is full. */
    private static final int TIMEOUT_MS = 200;

    private static final String SYN_SENT = "02";

    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> fillers = new ArrayList<>();
    private TestingEngine engine;

    public FullBacklogListener() throws IOException {
        while (fillers.size() < 8) {
            Socket filler = new Socket();
            try {
                filler.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port()), TIMEOUT_MS);
                fillers.add(filler);
            } catch (IOException e) {
                filler.close();
                return;
            }
        }
        throw new IOException("the backlog is not full after " + fillers.size() + " connections");
    }

    public int port() {
        return server.getLocalPort();
    }

    /** Waits until a client is connecting. */
    public void awaitConnecting() {
        Program.await("a client is connecting", this::isConnecting);
    }

    /** Returns whether a client is connecting: its socket is in state SYN_SENT. */
    public boolean isConnecting() {
        String remoteAndState = String.format(":%04X %s", port(), SYN_SENT);
        try {
            return Stream.concat(
                            Files.readAllLines(Path.of("/proc/net/tcp")).stream(),
                            Files.readAllLines(Path.of("/proc/net/tcp6")).stream())
                    .anyMatch(line -> line.contains(remoteAndState));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Accepts connections from now on; pending ones are established within two seconds. */
    public TestingEngine open() throws IOException {
        for (Socket filler : fillers) {
            filler.close();
        }
        engine = new TestingEngine(server, new ConcurrentRuns());
        return engine;
    }

    @Override
    public void close() throws IOException {
        for (Socket filler : fillers) {
            filler.close();
        }
        server.close();
        if (engine != null) {
            engine.close();
        }
    }
}
