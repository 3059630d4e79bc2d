package lineward.operations;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lineward.testing.AdminClient;
import lineward.testing.Program;
import lineward.testing.TestingPlatform;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The admin endpoint responds correctly and in time, even while other clients send malformed requests or
 * nothing.
 */
public class AdminServerTest {
    private TestingPlatform platform;
    private AdminClient adminClient;

    @BeforeClass
    public void start() throws IOException {
        platform = new TestingPlatform(Map.of());
        adminClient = new AdminClient(platform.program());
        Program.await("the program is ready", adminClient::isReady);
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws IOException {
        platform.close();
    }

    private Socket connect() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), platform.program().adminPort());
    }

    /** Bytes sent, and the status of the response; 0 if the connection is closed without a response. */
    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {"GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n", 200},
            {"GET /ops/readiness?a=b HTTP/1.0\r\n\r\n", 200},
            {"GET /ops/readiness HTTP/1.1\r\n\r\nGET /ops/none HTTP/1.1\r\n\r\n", 200},
            {"POST /ops/readiness HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405},
            {"GET /ops/drain/start HTTP/1.1\r\n\r\n", 405},
            {"GET /ops/none HTTP/1.1\r\n\r\n", 404},
            {"GET / HTTP/1.1\r\n\r\n", 404},
            {"what is this\r\n\r\n", 400},
            {"POST /ops/drain/stop HTTP/1.1\r\nContent-Length: much\r\n\r\n", 400},
            {"GET /" + "a".repeat(2000) + " HTTP/1.1\r\n\r\n", 400},
            {"POST /ops/drain/stop HTTP/1.1\r\nContent-Length: 5000\r\n\r\n" + "a".repeat(5000), 413},
            {"POST /ops/drain/stop HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n", 413},
            {"", 0},
            {"GET /ops/readi", 0},
            {"POST /ops/drain/stop HTTP/1.1\r\nContent-Length: 5\r\n\r\na", 0}
        };
    }

    @Test(dataProvider = "requests")
    public void eachRequestGetsItsResponseInTime(String bytes, int status) throws IOException {
        long startNanos = System.nanoTime();
        assertEquals(adminClient.sendRaw(bytes).status(), status);
        assertTrue(AdminClient.millisSince(startNanos) < 2000, "no response or close within 2 s");
    }

    @Test
    public void requestInTwoPartsGetsItsResponse() throws IOException {
        byte[] request = "POST /ops/query-engines/down HTTP/1.1\r\nContent-Length: 3\r\n\r\ns-9"
                .getBytes(StandardCharsets.US_ASCII);
        for (int firstBytes = 1; firstBytes < request.length; firstBytes++) {
            try (Socket socket = connect()) {
                socket.setTcpNoDelay(true);
                socket.getOutputStream().write(request, 0, firstBytes);
                socket.getOutputStream().write(request, firstBytes, request.length - firstBytes);
                byte[] bytes = socket.getInputStream().readAllBytes();
                String response = new String(bytes, StandardCharsets.US_ASCII);
                assertTrue(response.startsWith("HTTP/1.1 404 "), response);
            }
        }
    }

    @Test
    public void silentConnectionsDoNotBlockOtherClients() throws IOException {
        List<Socket> silent = new ArrayList<>();
        try {
            for (int i = 0; i < 100; i++) {
                silent.add(connect());
            }
            long startNanos = System.nanoTime();
            assertTrue(adminClient.isReady());
            assertTrue(AdminClient.millisSince(startNanos) < 1000);
        } finally {
            for (Socket socket : silent) {
                socket.close();
            }
        }
    }
}
