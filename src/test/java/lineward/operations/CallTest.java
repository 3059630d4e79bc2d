package lineward.operations;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lineward.Program;
import lineward.thrift.Platform;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The second address answers what is right, at once, whoever else hangs on to it. */
public class CallTest {
    private Platform platform;
    private Operator operator;

    @BeforeClass
    public void start() throws IOException {
        platform = new Platform(Map.of());
        operator = new Operator(platform.program());
        Program.await("it is ready", operator::isReady);
    }

    @AfterClass(alwaysRun = true)
    public void stop() throws IOException {
        platform.close();
    }

    @DataProvider
    public Object[][] calls() {
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

    @Test(dataProvider = "calls")
    public void eachCallHasItsAnswerInTime(String bytes, int status) throws IOException {
        long start = System.nanoTime();
        assertEquals(operator.raw(bytes).status(), status);
        assertTrue(Operator.millisSince(start) < 2000, "answered or closed in time");
    }

    @Test
    public void aCallInPiecesIsAnswered() throws IOException {
        byte[] call = "POST /ops/query-engines/down HTTP/1.1\r\nContent-Length: 3\r\n\r\ns-9"
                .getBytes(StandardCharsets.US_ASCII);
        for (int cut = 1; cut < call.length; cut++) {
            try (Socket socket = new Socket("127.0.0.1", platform.program().operations())) {
                socket.setTcpNoDelay(true);
                socket.getOutputStream().write(call, 0, cut);
                socket.getOutputStream().write(call, cut, call.length - cut);
                String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
                assertTrue(answer.startsWith("HTTP/1.1 404 "), answer);
            }
        }
    }

    @Test
    public void whoSaysNothingKeepsNobodyOut() throws IOException {
        List<Socket> silent = new ArrayList<>();
        try {
            for (int i = 0; i < 100; i++) {
                silent.add(new Socket("127.0.0.1", platform.program().operations()));
            }
            long start = System.nanoTime();
            assertTrue(operator.isReady());
            assertTrue(Operator.millisSince(start) < 1000);
        } finally {
            for (Socket socket : silent) {
                socket.close();
            }
        }
    }
}
