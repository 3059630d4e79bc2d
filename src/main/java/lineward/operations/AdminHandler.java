package lineward.operations;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import lineward.frontend.Channels;
import lineward.frontend.ClientRegistry;

/**
 * Responds to the first request of a connection, then shuts the connection down. {@link AdminRoutes} carries
 * out the request. Runs on the event loop.
 */
final class AdminHandler extends SimpleChannelInboundHandler<Object> {
    private static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private final AdminOperations operations;
    private final ClientRegistry<Channel> clients;
    private boolean responded;

    AdminHandler(AdminOperations operations, ClientRegistry<Channel> clients) {
        this.operations = operations;
        this.clients = clients;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        clients.connected(ctx.channel());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        clients.remove(ctx.channel());
    }

    /**
     * Receives a complete request, or the marker that the aggregator puts in place of one that is too large.
     */
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
        // Later requests on the connection are ignored.
        if (responded) {
            return;
        }
        responded = true;
        if (message == AdminRequestAggregator.TOO_LARGE) {
            send(ctx, AdminRoutes.bodyTooLarge());
        } else {
            send(ctx, AdminRoutes.handle(operations, (FullHttpRequest) message));
        }
    }

    /**
     * Sends the response, then shuts down the output only: closing the socket while bytes of the client are
     * unread would reset the connection and lose the response. The client or the request timeout closes the
     * connection.
     */
    private static void send(ChannelHandlerContext ctx, AdminResponse response) {
        ByteBuf body = ByteBufUtil.writeUtf8(ctx.alloc(), response.body());
        FullHttpResponse message = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, response.status(), body);
        HttpHeaders headers = message.headers();
        headers.set(HttpHeaderNames.CONTENT_TYPE, CONTENT_TYPE)
                .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        response.allowedMethod().ifPresent(method -> headers.set(HttpHeaderNames.ALLOW, method.name()));
        // Netty releases the response, and the body with it, after the write.
        ctx.writeAndFlush(message).addListener((ChannelFutureListener) written -> {
            if (written.isSuccess() && written.channel() instanceof DuplexChannel duplex) {
                Channels.shutdownOutput(duplex);
            } else {
                Channels.close(written.channel());
            }
        });
    }

    /** Closes the connection without a response, after an I/O error or a malformed request. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        Channels.close(ctx.channel());
    }
}
