package lineward.operations;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;

/** Gathers a call's body, the id of an engine at most; a larger one becomes an answer of its own. */
final class AdminRequestAggregator extends HttpObjectAggregator {
    /** Handed on in the place of a call whose body is too large. */
    static final Object TOO_LARGE = new Object();

    private static final int LARGEST_BODY = 1024;

    AdminRequestAggregator() {
        super(LARGEST_BODY);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
        ctx.fireChannelRead(TOO_LARGE);
    }
}
