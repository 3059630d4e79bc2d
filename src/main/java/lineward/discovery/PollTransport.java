package lineward.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.Map;
import lineward.core.ByteBudget;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The HTTP/1.1 connections to service discovery, identified by the numbers that {@link PollPolicy} assigns.
 * Runs on the event loop. A response has at most {@value #MAX_RESPONSE_BYTES} bytes, all incomplete responses
 * {@value #MAX_INCOMPLETE_BYTES}; the policy limits the number of connections.
 */
final class PollTransport {
    private static final Logger LOG = LoggerFactory.getLogger(PollTransport.class);
    /** Disables Netty's timeout: {@link PollPolicy} decides how long a connect may take. */
    private static final int NO_CONNECT_TIMEOUT = 0;

    private static final int MAX_RESPONSE_BYTES = 4 << 20;
    /** Limit on the incomplete responses of all connections together. */
    private static final long MAX_INCOMPLETE_BYTES = 3L * MAX_RESPONSE_BYTES;

    /** Receives the events of the connections, on the event loop. */
    interface Listener {
        /** A connection has been established. */
        void connected(int connectionNumber);

        /**
         * A complete response was received; its content is released when the method returns.
         *
         * @throws IOException if the content can't be read; the connection is then closed as failed
         */
        void responded(int connectionNumber, FullHttpResponse response) throws IOException;

        /** A connection was closed, was not established or failed; may be called repeatedly for one. */
        void failed(int connectionNumber, PollFault fault);
    }

    private record Connection(Channel channel, String address) {}

    private final EventLoop loop;
    private final Listener listener;
    private final Map<Integer, Connection> connections = new HashMap<>();
    private final ByteBudget incompleteResponses = new ByteBudget(MAX_INCOMPLETE_BYTES);

    /** Creates a transport without connections. */
    PollTransport(EventLoop loop, Listener listener) {
        this.loop = loop;
        this.listener = listener;
    }

    /** Opens a connection to {@code host:port}. */
    void connect(int connectionNumber, String address) {
        int colon = address.lastIndexOf(':');
        String host = address.substring(0, colon);
        int port = Integer.parseInt(address.substring(colon + 1));
        ChannelFuture connectFuture = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, NO_CONNECT_TIMEOUT)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new PipelineInitializer(connectionNumber))
                .connect(new InetSocketAddress(host, port));
        connections.put(connectionNumber, new Connection(connectFuture.channel(), address));
        connectFuture.addListener(done -> {
            if (!done.isSuccess()) {
                fail(connectionNumber, PollFault.connectFailed(done.cause()));
            }
        });
    }

    /** Sends a GET request for this URI if the connection still exists. */
    void sendRequest(int connectionNumber, String uri) {
        Connection connection = connections.get(connectionNumber);
        if (connection != null) {
            HttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
            request.headers().set(HttpHeaderNames.HOST, connection.address());
            connection.channel().writeAndFlush(request).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        }
    }

    /** Closes a connection if it still exists. */
    void close(int connectionNumber) {
        Connection connection = connections.remove(connectionNumber);
        if (connection != null) {
            close(connection.channel());
        }
    }

    /** Closes a connection after an invalid response, and reports the fault to the listener. */
    void abort(int connectionNumber, PollFault fault) {
        Connection connection = connections.get(connectionNumber);
        fail(connectionNumber, fault);
        if (connection != null) {
            close(connection.channel());
        }
    }

    private void fail(int connectionNumber, PollFault fault) {
        connections.remove(connectionNumber);
        listener.failed(connectionNumber, fault);
    }

    private static void close(Channel channel) {
        channel.close().addListener(result -> {
            if (!result.isSuccess()) {
                SocketAddress address = channel.remoteAddress();
                LOG.debug("service discovery connection not closed: address={}", address, result.cause());
            }
        });
    }

    private final class PipelineInitializer extends ChannelInitializer<Channel> {
        private final int connectionNumber;

        PipelineInitializer(int connectionNumber) {
            this.connectionNumber = connectionNumber;
        }

        @Override
        protected void initChannel(Channel channel) {
            channel.pipeline()
                    .addLast(
                            new HttpClientCodec(),
                            new ResponseMemoryLimiter(incompleteResponses),
                            new HttpObjectAggregator(MAX_RESPONSE_BYTES),
                            new ResponseHandler(connectionNumber));
        }
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int connectionNumber;

        ResponseHandler(int connectionNumber) {
            this.connectionNumber = connectionNumber;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            listener.connected(connectionNumber);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) throws IOException {
            listener.responded(connectionNumber, response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            fail(connectionNumber, PollFault.invalidResponse(cause));
            close(ctx.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            fail(connectionNumber, PollFault.CONNECTION_CLOSED);
        }
    }
}
