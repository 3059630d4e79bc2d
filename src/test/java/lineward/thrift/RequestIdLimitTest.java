package lineward.thrift;

import static org.testng.Assert.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import lineward.testing.ProgramMetrics;
import lineward.testing.RunCommand;
import lineward.testing.TestingClient;
import lineward.testing.TestingPlatform;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The limit on the ids of recent requests, with the memory of the {@code run} command. */
public class RequestIdLimitTest {
    private static final int SERVED = 0;
    private static final int DEADLINE_MS = 2500;
    private static final int REQUESTS = 50_000;
    /** For each of four connections, a multiple of the batch; a run by hand sets the property to 50000. */
    private static final int REQUESTS_OF_FOUR = Integer.getInteger("lineward.requestsOfFour", 4_000);
    /** Requests that are open at the same time on a connection. */
    private static final int BATCH = 8;

    private TestingPlatform platform;

    @BeforeMethod
    public void start() throws IOException {
        platform = new TestingPlatform(RunCommand.environment());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        platform.close();
    }

    @DataProvider
    public Object[][] connectionCounts() {
        return new Object[][] {{1, REQUESTS}, {4, REQUESTS_OF_FOUR}};
    }

    /** Guards against a limit on recent ids that rejects a client for its rate instead of for memory. */
    @Test(dataProvider = "connectionCounts")
    public void servesAllRequestsOfClientsThatSendAsFastAsTheyAreAnswered(int connections, int requests)
            throws Exception {
        ExecutorService threads = Executors.newFixedThreadPool(connections);
        try {
            List<Callable<Integer>> clients = new ArrayList<>();
            for (int i = 0; i < connections; i++) {
                clients.add(() -> servedUntilRejected(requests));
            }
            for (Future<Integer> served : threads.invokeAll(clients)) {
                assertEquals((int) served.get(), requests);
            }
        } finally {
            threads.shutdownNow();
        }
        Map<String, Integer> metrics = ProgramMetrics.read(platform.program());
        assertEquals((int) metrics.get("edge_relay_id_limit_rejections_total"), 0);
    }

    private int servedUntilRejected(int requests) throws IOException {
        try (TestingClient client = platform.client()) {
            int served = 0;
            int servedOfBatch = BATCH;
            while (served < requests && servedOfBatch == BATCH) {
                servedOfBatch = servedOfBatch(client);
                served += servedOfBatch;
            }
            return served;
        }
    }

    private static int servedOfBatch(TestingClient client) throws IOException {
        ByteArrayOutputStream batch = new ByteArrayOutputStream();
        for (int i = 0; i < BATCH; i++) {
            batch.writeBytes(client.encode(TestingClient.fields(DEADLINE_MS), "select 1"));
        }
        client.sendRaw(batch.toByteArray());
        int served = 0;
        for (int i = 0; i < BATCH; i++) {
            served += client.read().fieldId() == SERVED ? 1 : 0;
        }
        return served;
    }
}
