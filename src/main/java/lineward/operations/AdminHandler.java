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

/** Replies to the first request of a connection and closes it; see {@link AdminRoutes} for the replies. */
final class AdminHandler extends SimpleChannelInboundHandler<Object> {
    private static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private final AdminOperations operations;
    private final ClientRegistry<Channel> clients;
    private boolean replied;

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
        clients.disconnected(ctx.channel());
    }

    /** Takes a complete request, or the aggregator's mark for one too large. */
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
        // One request for each connection: what follows is dropped.
        if (replied) {
            return;
        }
        replied = true;
        if (message == AdminRequestAggregator.TOO_LARGE) {
            send(ctx, AdminRoutes.bodyTooLarge());
        } else {
            send(ctx, AdminRoutes.handle(operations, (FullHttpRequest) message));
        }
    }

    /**
     * Closes the sending half only: a close with bytes of the client unread would reset the connection and
     * drop the response. The client's close or the request timeout closes the rest.
     */
    private static void send(ChannelHandlerContext ctx, AdminReply reply) {
        ByteBuf body = ByteBufUtil.writeUtf8(ctx.alloc(), reply.text());
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, reply.status(), body);
        HttpHeaders headers = response.headers();
        headers.set(HttpHeaderNames.CONTENT_TYPE, CONTENT_TYPE)
                .set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        reply.allowedMethod().ifPresent(method -> headers.set(HttpHeaderNames.ALLOW, method.name()));
        // The pipeline releases the response, and the body with it.
        ctx.writeAndFlush(response).addListener((ChannelFutureListener) written -> {
            if (written.isSuccess() && written.channel() instanceof DuplexChannel duplex) {
                Channels.shutdownOutput(duplex);
            } else {
                Channels.close(written.channel());
            }
        });
    }

    /** A client that disconnects during its request is owed nothing. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        Channels.close(ctx.channel());
    }
}
