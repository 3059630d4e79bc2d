package lineward.thrift;

import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The calls of one connection that were received but not submitted yet. If the client has left, the end of
 * the connection is behind its calls in the socket, and is read after them. A call is therefore submitted in
 * the event loop iteration that follows the read which emptied the socket: that iteration would have read
 * the end of the connection. Used on the event loop of the channel.
 */
final class ReceivedCalls {
    /**
     * Reads after which calls are submitted although the socket was not emptied. All calls that may be open
     * on a connection fit in half of them.
     */
    private static final int MAX_READS = 256;

    private final Consumer<Call> submission;
    /** Calls of reads that did not empty the socket. */
    private final List<Call> unsettled = new ArrayList<>();
    /** Calls that are submitted in the next iteration. */
    private final List<Call> settled = new ArrayList<>();

    private boolean isScheduled;
    private boolean readSinceScheduled;
    private boolean lastReadEmptiedSocket;
    /** Reads since there are unsettled calls. */
    private int reads;

    /** @param submission submits a call, unless it was aborted */
    ReceivedCalls(Consumer<Call> submission) {
        this.submission = submission;
    }

    /** Adds a call that the current read has completed. */
    void add(Call call) {
        unsettled.add(call);
    }

    /** Removes all calls, because the connection is closed. */
    void clear() {
        unsettled.clear();
        settled.clear();
    }

    /** Handles the end of a read of the connection. */
    void readCompleted(Channel channel) {
        if (unsettled.isEmpty()) {
            return;
        }
        reads++;
        lastReadEmptiedSocket = emptiedSocket(channel);
        readSinceScheduled = true;
        if (!isScheduled) {
            settleIfSocketIsEmpty();
            isScheduled = true;
            // A task of this iteration can't see the next one, but what it schedules runs in that.
            channel.eventLoop().execute(() -> schedule(channel));
        }
    }

    /** A read that does not fill its buffer has emptied the socket, but for the end of the connection. */
    private static boolean emptiedSocket(Channel channel) {
        var lastRead = channel.unsafe().recvBufAllocHandle();
        return lastRead.lastBytesRead() < lastRead.attemptedBytesRead();
    }

    private void schedule(Channel channel) {
        isScheduled = true;
        readSinceScheduled = false;
        channel.eventLoop()
                .schedule(() -> submitSettled(channel), 0, TimeUnit.NANOSECONDS)
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        channel.pipeline().fireExceptionCaught(done.cause());
                    }
                });
    }

    private void submitSettled(Channel channel) {
        isScheduled = false;
        if (!readSinceScheduled) {
            settle();
        }
        List<Call> ready = List.copyOf(settled);
        settled.clear();
        ready.forEach(submission);
        settleIfSocketIsEmpty();
        if (!settled.isEmpty() || !unsettled.isEmpty()) {
            schedule(channel);
        }
    }

    private void settleIfSocketIsEmpty() {
        if (lastReadEmptiedSocket || reads >= MAX_READS) {
            settle();
        }
    }

    private void settle() {
        settled.addAll(unsettled);
        unsettled.clear();
        reads = 0;
    }
}
