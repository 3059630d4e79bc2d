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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.BiFunction;
import lineward.frontend.ClientRegistry;

/** Answers one call and lets its caller go. */
final class AdminHandler extends SimpleChannelInboundHandler<Object> {
    private record Reply(HttpResponseStatus status, String text) {
        static Reply yes(String text) {
            return new Reply(HttpResponseStatus.OK, text);
        }
    }

    /** What can be asked at a path; the answer may depend on the body. */
    private record Call(HttpMethod method, BiFunction<AdminOperations, String, Reply> answer) {}

    private static final Map<String, Call> CALLS = Map.of(
            "/ops/readiness",
                    new Call(
                            HttpMethod.GET,
                            (ops, body) -> ops.isReady()
                                    ? Reply.yes("ready\n")
                                    : new Reply(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n")),
            "/ops/stats", new Call(HttpMethod.GET, (ops, body) -> Reply.yes(ops.metrics())),
            "/ops/query-engines/down", new Call(HttpMethod.POST, (ops, body) -> hold(ops, body, true)),
            "/ops/query-engines/up", new Call(HttpMethod.POST, (ops, body) -> hold(ops, body, false)),
            "/ops/drain/start",
                    new Call(HttpMethod.POST, (ops, body) -> {
                        ops.startDrain();
                        return Reply.yes("draining\n");
                    }),
            "/ops/drain/stop",
                    new Call(
                            HttpMethod.POST,
                            (ops, body) -> ops.stopDrain()
                                    ? Reply.yes("serving\n")
                                    : new Reply(HttpResponseStatus.CONFLICT, "the process is ending\n")));

    private static Reply hold(AdminOperations ops, String engine, boolean out) {
        return ops.setMaintenance(engine, out)
                ? Reply.yes(engine + (out ? " is left out\n" : " is used\n"))
                : new Reply(HttpResponseStatus.NOT_FOUND, "no query engine " + engine + " is known\n");
    }

    private final AdminOperations operations;
    private final ClientRegistry<Channel> callers;
    private boolean answered;

    AdminHandler(AdminOperations operations, ClientRegistry<Channel> callers) {
        this.operations = operations;
        this.callers = callers;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        callers.connected(ctx.channel());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        callers.disconnected(ctx.channel());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
        // One call for each connection: what comes behind it is passed over.
        if (answered) {
            return;
        }
        answered = true;
        if (message == AdminRequestAggregator.TOO_LARGE) {
            send(ctx, new Reply(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too large\n"), null);
            return;
        }
        FullHttpRequest request = (FullHttpRequest) message;
        Call call =
                request.decoderResult().isSuccess() ? CALLS.get(new QueryStringDecoder(request.uri()).path()) : null;
        if (!request.decoderResult().isSuccess()) {
            send(ctx, new Reply(HttpResponseStatus.BAD_REQUEST, "no call that can be read\n"), null);
        } else if (call == null) {
            send(ctx, new Reply(HttpResponseStatus.NOT_FOUND, "no such path\n"), null);
        } else if (!call.method().equals(request.method())) {
            send(ctx, new Reply(HttpResponseStatus.METHOD_NOT_ALLOWED, "not by that method\n"), call.method());
        } else {
            send(
                    ctx,
                    call.answer()
                            .apply(
                                    operations,
                                    request.content()
                                            .toString(StandardCharsets.UTF_8)
                                            .strip()),
                    null);
        }
    }

    /**
     * Only our half is closed: a close with bytes of the caller unread would reset the connection and take
     * the answer with it. The caller's close, or the end of its time, ends the rest.
     */
    private static void send(ChannelHandlerContext ctx, Reply reply, HttpMethod allowed) {
        ByteBuf text = ByteBufUtil.writeUtf8(ctx.alloc(), reply.text());
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, reply.status(), text);
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8")
                .set(HttpHeaderNames.CONTENT_LENGTH, text.readableBytes())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        if (allowed != null) {
            response.headers().set(HttpHeaderNames.ALLOW, allowed.name());
        }
        ctx.writeAndFlush(response).addListener((ChannelFutureListener) done -> {
            if (done.isSuccess() && done.channel() instanceof DuplexChannel duplex) {
                duplex.shutdownOutput();
            } else {
                done.channel().close();
            }
        });
    }

    /** Who hangs up amid a call is owed nothing. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
