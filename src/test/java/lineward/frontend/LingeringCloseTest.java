package lineward.frontend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import lineward.testing.Program;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests the graceful close on real sockets. To provoke races, a test blocks the event loop until the peer has
 * sent its bytes, or waits until the output is shut down.
 */
public class LingeringCloseTest {
    /** More than the socket buffers hold, so that part of the response is unsent when the close begins. */
    private static final int LONG_RESPONSE_BYTES = 2 << 20;

    private static final int SMALL_BUFFER_BYTES = 64 * 1024;

    private final BlockingQueue<Channel> acceptedChannels = new LinkedBlockingQueue<>();
    private final List<String> receivedTexts = new CopyOnWriteArrayList<>();
    private EventLoopGroup loop;
    private Channel serverChannel;

    @BeforeMethod
    public void start() {
        acceptedChannels.clear();
        receivedTexts.clear();
        loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        serverChannel = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new SimpleChannelInboundHandler<ByteBuf>() {
                            @Override
                            public void channelActive(ChannelHandlerContext ctx) {
                                acceptedChannels.add(ctx.channel());
                            }

                            @Override
                            protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
                                receivedTexts.add(bytes.toString(StandardCharsets.US_ASCII));
                            }

                            @Override
                            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                                Channels.close(ctx.channel());
                            }
                        });
                    }
                })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .syncUninterruptibly()
                .channel();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Socket connect() throws IOException {
        Socket peer = new Socket();
        peer.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        peer.setSoTimeout(10_000);
        peer.connect(serverChannel.localAddress());
        return peer;
    }

    private static void await(CountDownLatch latch) {
        try {
            assertTrue(latch.await(10, TimeUnit.SECONDS));
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    @Test
    public void anUnreadRequestKeepsTheConnectionOpen() throws Exception {
        CountDownLatch eventLoopBlocked = new CountDownLatch(1);
        CountDownLatch requestWritten = new CountDownLatch(1);
        CountDownLatch staysOpen = new CountDownLatch(1);
        try (Socket peer = connect()) {
            Channel channel = acceptedChannels.take();
            channel.eventLoop().execute(() -> {
                eventLoopBlocked.countDown();
                await(requestWritten);
                LingeringClose.begin(channel, receivedTexts::isEmpty, staysOpen::countDown);
            });
            await(eventLoopBlocked);
            peer.getOutputStream().write("request".getBytes(StandardCharsets.US_ASCII));
            requestWritten.countDown();
            await(staysOpen);
            assertEquals(receivedTexts, List.of("request"));
            byte[] response = "response".getBytes(StandardCharsets.US_ASCII);
            channel.writeAndFlush(Unpooled.wrappedBuffer(response)).syncUninterruptibly();
            assertEquals(peer.getInputStream().readNBytes(response.length), response);
        }
    }

    /** Bytes that arrive after the shutdown are discarded, and the response in flight arrives complete. */
    @Test
    public void bytesAfterTheShutdownAreDiscardedAndTheResponseIsComplete() throws Exception {
        SocketChannel channel;
        try (Socket peer = connect()) {
            channel = (SocketChannel) acceptedChannels.take();
            channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[LONG_RESPONSE_BYTES]))
                    .addListener(written -> LingeringClose.begin(channel, () -> true, () -> {}));
            // Reads until the rest of the response fits into the socket buffers and the output is shut down.
            int received = 0;
            byte[] buffer = new byte[SMALL_BUFFER_BYTES];
            long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
            while (!channel.isOutputShutdown()) {
                assertTrue(System.nanoTime() < deadlineNanos, "the output was not shut down");
                if (peer.getInputStream().available() > 0) {
                    received += peer.getInputStream().read(buffer);
                }
            }
            peer.getOutputStream().write("late request".getBytes(StandardCharsets.US_ASCII));
            received += peer.getInputStream().readAllBytes().length;
            assertEquals(received, LONG_RESPONSE_BYTES);
            assertEquals(receivedTexts, List.of());
        }
        Program.await("the server closes the connection after the peer", () -> !channel.isOpen());
    }

    @Test
    public void aPeerThatNeverClosesIsDisconnectedSoon() throws Exception {
        try (Socket peer = connect()) {
            Channel channel = acceptedChannels.take();
            LingeringClose.begin(channel, () -> true, () -> {});
            long startNanos = System.nanoTime();
            Program.await("the connection is closed", () -> !channel.isOpen());
            assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(3));
            assertTrue(peer.isConnected());
        }
    }
}
