package lineward.thrift;

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
import lineward.Program;

/** An engine's address where connections don't come up until it opens: its backlog is full. */
final class LateListener implements AutoCloseable {
    private static final int CONNECTS_MS = 200;
    private static final String SYN_SENT = "02";

    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> fillers = new ArrayList<>();
    private StandInLines engine;

    LateListener() throws IOException {
        while (fillers.size() < 8) {
            Socket filler = new Socket();
            try {
                filler.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port()), CONNECTS_MS);
                fillers.add(filler);
            } catch (IOException e) {
                filler.close();
                return;
            }
        }
        throw new IOException("the backlog is never full");
    }

    int port() {
        return server.getLocalPort();
    }

    /** Waits until somebody's connection here is on its way up. */
    void awaitConnecting() {
        Program.await("a connection on its way", this::isConnecting);
    }

    /** Returns whether somebody's connection here is on its way up. */
    boolean isConnecting() {
        String end = String.format(":%04X %s", port(), SYN_SENT);
        try {
            return Stream.concat(
                            Files.readAllLines(Path.of("/proc/net/tcp")).stream(),
                            Files.readAllLines(Path.of("/proc/net/tcp6")).stream())
                    .anyMatch(l -> l.contains(end));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** From now on connections come up, those that wait within a second or two. */
    StandInLines open() throws IOException {
        for (Socket filler : fillers) {
            filler.close();
        }
        engine = new StandInLines(server);
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
