package lineward.operations;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;

/** Combines a request with its body, which contains at most an engine's id. Runs on the event loop. */
final class AdminRequestAggregator extends HttpObjectAggregator {
    /** Passed on in place of a request whose body is too large. */
    static final Object TOO_LARGE = new Object();

    private static final int MAX_BODY_BYTES = 1024;

    AdminRequestAggregator() {
        super(MAX_BODY_BYTES);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
        ctx.fireChannelRead(TOO_LARGE);
    }
}
