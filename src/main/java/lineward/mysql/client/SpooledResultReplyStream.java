package lineward.mysql.client;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.Optional;
import java.util.OptionalInt;
import lineward.mysql.wire.Packets;
import lineward.mysql.wire.ReplyStream;
import lineward.mysql.wire.ResultFormat;
import lineward.spool.ReadStatus;
import lineward.spool.ResultChunk;
import lineward.spool.SpoolReader;
import lineward.spool.SpooledResult;

/** Sends all of a spooled result to a client as one reply, no faster than the client reads. */
final class SpooledResultReplyStream implements ReplyStream {
    private static final int FIRST_SEQUENCE = 1;

    private final ByteBufAllocator alloc;
    private final ClientReplyWriter replies;
    private final SpoolReader reader;
    private final StreamEndListener listener;
    private final ResultFormat dialect;
    /** The packets that were sent last; null before the column definitions are sent. */
    private byte[] lastPackets;
    /** Prevents recursion: reading the result notifies all its readers, including this one. */
    private boolean sending;

    private boolean closed;

    /**
     * Creates a stream that has sent nothing.
     *
     * @param replies sends complete packets
     * @param listener is notified when the reply has ended
     */
    SpooledResultReplyStream(
            ByteBufAllocator alloc,
            SpooledResult result,
            ResultFormat dialect,
            ClientReplyWriter replies,
            StreamEndListener listener) {
        this.dialect = dialect;
        this.alloc = alloc;
        this.replies = replies;
        this.listener = listener;
        this.reader = result.openReader(this::resume);
    }

    @Override
    public void resume() {
        if (sending || closed) {
            return;
        }
        sending = true;
        boolean noChunkLeft = sendWhileWritable();
        sending = false;
        ReadStatus readState = reader.readStatus();
        if (isEnd(readState, noChunkLeft)) {
            close();
            end(readState, nextSequence());
        }
    }

    /** Ends the reply, with the engine's error if that is why the result is incomplete. */
    private void end(ReadStatus readState, int nextSequence) {
        Optional<byte[]> engineError = reader.engineError();
        if (readState == ReadStatus.FAILED && engineError.isPresent()) {
            replies.send(Packets.withSequence(engineError.get(), nextSequence));
            listener.ended(ReadStatus.END, OptionalInt.empty());
        } else {
            listener.ended(readState, OptionalInt.of(nextSequence));
        }
    }

    /**
     * Sends the available chunks while the channel is writable.
     *
     * @return false if the channel stopped being writable after a chunk, so that more may be available
     */
    private boolean sendWhileWritable() {
        ResultChunk chunk = null;
        while (replies.acceptsPart()) {
            chunk = reader.poll();
            if (chunk == null) {
                break;
            }
            ByteBuf packets = encode(chunk);
            lastPackets = chunk.bytes();
            replies.send(packets);
        }
        return chunk == null;
    }

    private ByteBuf encode(ResultChunk chunk) {
        if (chunk.rows() > 0) {
            return dialect.convertRows(chunk.bytes());
        }
        byte[] packets = chunk.bytes();
        boolean isHead = lastPackets == null;
        return isHead ? dialect.convertColumns(packets) : dialect.convertLastPacket(alloc, packets);
    }

    private int nextSequence() {
        return lastPackets == null ? FIRST_SEQUENCE : dialect.sequenceAfter(lastPackets);
    }

    /** Returns whether the reply has ended; a broken one ends only once its error packet can be written. */
    private boolean isEnd(ReadStatus readState, boolean noChunkLeft) {
        return switch (readState) {
            case EXPIRED -> true;
            case END -> noChunkLeft;
            case FAILED -> noChunkLeft && replies.acceptsPart();
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
