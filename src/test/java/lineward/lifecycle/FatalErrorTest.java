package lineward.lifecycle;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lineward.testing.RunCommand;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** After an error of the virtual machine the process goes on answering, or ends; it never only listens. */
public class FatalErrorTest {
    private static final int TIMEOUT_S = 10;

    private EventLoopGroup group;

    @BeforeMethod
    public void start() {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    /** Guards against a periodic task that never runs again after an error (review/8). */
    @Test
    public void runsAPeriodicTaskAgainAfterAnError() throws InterruptedException {
        CountDownLatch runs = new CountDownLatch(3);
        new Ticker(group.next()).every(1, () -> {
            runs.countDown();
            throw new OutOfMemoryError("thrown by a test");
        });
        assertTrue(runs.await(TIMEOUT_S, TimeUnit.SECONDS), runs.getCount() + " runs missing");
    }

    /** Guards against a process that listens although its event loop has ended (review/8). */
    @Test
    public void endsTheProcessWithItsEventLoop() throws Exception {
        CompletableFuture<Integer> status = new CompletableFuture<>();
        EventLoopMonitor.watch(group, status::complete);
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
        assertEquals(status.get(TIMEOUT_S, TimeUnit.SECONDS), Integer.valueOf(EventLoopMonitor.EXIT_STATUS));
    }

    /** A full heap may leave any object half changed, so the virtual machine ends at once. */
    @Test
    public void runCommandEndsTheProcessIfTheHeapIsFull() throws IOException {
        assertTrue(RunCommand.environment().toString().contains("-XX:+ExitOnOutOfMemoryError"));
    }
}
