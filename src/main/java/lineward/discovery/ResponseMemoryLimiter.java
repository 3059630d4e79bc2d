package lineward.discovery;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import lineward.core.ByteBudget;

/**
 * Limits the memory of incomplete responses on all connections to service discovery together. Placed before
 * the aggregator of one connection; fails the connection whose content exceeds the budget. Used on the event
 * loop.
 */
final class ResponseMemoryLimiter extends ChannelInboundHandlerAdapter {
    private final ByteBudget budget;
    private long reservedBytes;

    /** @param budget shared by the connections */
    ResponseMemoryLimiter(ByteBudget budget) {
        this.budget = budget;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpContent content && !reserve(content.content().readableBytes())) {
            ReferenceCountUtil.release(message);
            String reason = "incomplete responses exceed the memory limit";
            ctx.fireExceptionCaught(new IllegalStateException(reason));
            return;
        }
        ctx.fireChannelRead(message);
        if (message instanceof LastHttpContent) {
            releaseAll();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        releaseAll();
        ctx.fireChannelInactive();
    }

    private boolean reserve(int bytes) {
        if (!budget.reserve(bytes)) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    private void releaseAll() {
        budget.release(reservedBytes);
        reservedBytes = 0;
    }
}
