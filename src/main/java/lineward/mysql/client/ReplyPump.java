package lineward.mysql.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import java.util.OptionalInt;
import java.util.function.Consumer;
import lineward.mysql.wire.Dialect;
import lineward.mysql.wire.ReplyStream;
import lineward.spool.ReadState;
import lineward.spool.ResultChunk;
import lineward.spool.SpoolReader;
import lineward.spool.SpooledResult;

/** Sends a complete spooled reply to a client, at the speed at which the client reads. */
final class ReplyPump implements ReplyStream {
    private static final int FIRST_SEQUENCE = 1;

    private final Channel channel;
    private final Consumer<ByteBuf> sink;
    private final SpoolReader reader;
    private final StreamEndListener listener;
    private final Dialect dialect;
    /** The packets sent last; null before the columns. */
    private byte[] lastPackets;
    /** Guards against recursion: reading the result notifies its readers, which include this one. */
    private boolean sending;

    private boolean closed;

    /**
     * Creates a pump that has sent nothing.
     *
     * @param sink sends complete packets
     * @param listener is notified when nothing more is sent
     */
    ReplyPump(
            Channel channel,
            SpooledResult result,
            Dialect dialect,
            Consumer<ByteBuf> sink,
            StreamEndListener listener) {
        this.dialect = dialect;
        this.channel = channel;
        this.sink = sink;
        this.listener = listener;
        this.reader = result.read(this::resume);
    }

    @Override
    public void resume() {
        if (sending || closed) {
            return;
        }
        sending = true;
        boolean noChunkLeft = sendWhileWritable();
        sending = false;
        ReadState ahead = reader.readState();
        if (isEnd(ahead, noChunkLeft)) {
            close();
            listener.ended(ahead, OptionalInt.of(nextSequence()));
        }
    }

    /** Returns whether no chunk is available, or the channel was not writable at first. */
    private boolean sendWhileWritable() {
        ResultChunk chunk = null;
        while (channel.isWritable()) {
            chunk = reader.poll();
            if (chunk == null) {
                break;
            }
            ByteBuf packets = encode(chunk);
            lastPackets = chunk.bytes();
            sink.accept(packets);
        }
        return chunk == null;
    }

    private ByteBuf encode(ResultChunk chunk) {
        if (chunk.rows() > 0) {
            return dialect.rows(chunk.bytes());
        }
        boolean isHead = lastPackets == null;
        return isHead ? dialect.columns(chunk.bytes()) : dialect.tail(channel.alloc(), chunk.bytes());
    }

    private int nextSequence() {
        return lastPackets == null ? FIRST_SEQUENCE : dialect.sequenceAfter(lastPackets);
    }

    /** Returns whether nothing more is sent. A broken result ends when its error can be written. */
    private boolean isEnd(ReadState ahead, boolean noChunkLeft) {
        return switch (ahead) {
            case EXPIRED -> true;
            case END -> noChunkLeft;
            case BROKEN -> noChunkLeft && channel.isWritable();
            default -> false;
        };
    }

    @Override
    public void close() {
        if (!closed) {
            closed = true;
            reader.close();
        }
    }
}
