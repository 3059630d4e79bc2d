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
import lineward.Program;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** How a connection ends in order, on real sockets: the loop is held at a point until the peer has acted. */
public class LingeringCloseTest {
    /** More than the peer's socket takes at once: part of it is still here when the close is decided. */
    private static final int LONG_ANSWER = 2 << 20;

    private static final int SMALL_BUFFER = 64 * 1024;

    private final BlockingQueue<Channel> accepted = new LinkedBlockingQueue<>();
    private final List<String> read = new CopyOnWriteArrayList<>();
    private EventLoopGroup loop;
    private Channel listener;

    @BeforeMethod
    public void start() {
        accepted.clear();
        read.clear();
        loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        listener = new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new SimpleChannelInboundHandler<ByteBuf>() {
                            @Override
                            public void channelActive(ChannelHandlerContext ctx) {
                                accepted.add(ctx.channel());
                            }

                            @Override
                            protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
                                read.add(bytes.toString(StandardCharsets.US_ASCII));
                            }

                            @Override
                            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                                ctx.close();
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
        peer.setReceiveBufferSize(SMALL_BUFFER);
        peer.setSoTimeout(10_000);
        peer.connect(listener.localAddress());
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
    public void aRequestThatLiesUnreadAtTheDecisionIsReadAndKeepsTheConnection() throws Exception {
        CountDownLatch decides = new CountDownLatch(1);
        CountDownLatch written = new CountDownLatch(1);
        CountDownLatch stays = new CountDownLatch(1);
        try (Socket peer = connect()) {
            Channel channel = accepted.take();
            channel.eventLoop().execute(() -> {
                decides.countDown();
                await(written);
                LingeringClose.begin(channel, read::isEmpty, stays::countDown);
            });
            await(decides);
            peer.getOutputStream().write("request".getBytes(StandardCharsets.US_ASCII));
            written.countDown();
            await(stays);
            assertEquals(read, List.of("request"));
            channel.eventLoop()
                    .submit(() -> channel.writeAndFlush(Unpooled.copiedBuffer("answer", StandardCharsets.US_ASCII)));
            assertEquals(new String(peer.getInputStream().readNBytes(6), StandardCharsets.US_ASCII), "answer");
        }
    }

    /** What comes behind the shutdown reaches nobody, and the answer that is on its way arrives whole. */
    @Test
    public void bytesBehindTheShutdownReachNobodyAndHarmNoAnswer() throws Exception {
        SocketChannel channel;
        try (Socket peer = connect()) {
            channel = (SocketChannel) accepted.take();
            channel.eventLoop()
                    .submit(() -> channel.writeAndFlush(Unpooled.wrappedBuffer(new byte[LONG_ANSWER]))
                            .addListener(done -> LingeringClose.begin(channel, () -> true, () -> {})));
            // The peer reads until the rest fits into the buffers between the two.
            int got = 0;
            byte[] some = new byte[SMALL_BUFFER];
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
            while (!channel.isOutputShutdown()) {
                assertTrue(System.nanoTime() < until, "no shutdown");
                if (peer.getInputStream().available() > 0) {
                    got += peer.getInputStream().read(some);
                }
            }
            peer.getOutputStream().write("late request".getBytes(StandardCharsets.US_ASCII));
            got += peer.getInputStream().readAllBytes().length;
            assertEquals(got, LONG_ANSWER);
            assertEquals(read, List.of());
        }
        Program.await("it is closed here too", () -> !channel.isOpen());
    }

    @Test
    public void aPeerThatNeverClosesHoldsNothingForLong() throws Exception {
        try (Socket peer = connect()) {
            Channel channel = accepted.take();
            LingeringClose.begin(channel, () -> true, () -> {});
            long start = System.nanoTime();
            Program.await("it is closed", () -> !channel.isOpen());
            assertTrue(System.nanoTime() - start < TimeUnit.SECONDS.toNanos(3));
            assertTrue(peer.isConnected());
        }
    }
}
