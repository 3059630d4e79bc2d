package lineward.mysql;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/** A statement that a client has prepared: the front keeps its text, as any engine may have to run it. */
final class ClientStatement {
    private static final int HEAD = 5;

    final String schema;
    final String text;
    final int params;
    private final List<Work.LongData> longData = new ArrayList<>();
    private byte[] types;

    ClientStatement(String schema, String text, int params) {
        this.schema = schema;
        this.text = text;
        this.params = params;
    }

    void add(Work.LongData data) {
        longData.add(data);
    }

    int longBytes() {
        return longData.stream().mapToInt(d -> d.bytes().length).sum();
    }

    /** Drops the pieces sent ahead. */
    void reset() {
        longData.clear();
    }

    /**
     * Takes the arguments of an execution. A client gives the types of its parameters once; whichever engine
     * runs the statement has not heard them, so they always go along.
     *
     * @param in what follows the statement's id
     * @throws IllegalArgumentException with a plain reason if they can't be used
     */
    Work.Execute execute(ByteBuf in) {
        ByteBuf out = in.alloc().heapBuffer(in.readableBytes() + 2 * params + 1);
        try {
            if (in.getByte(in.readerIndex()) != 0) {
                throw new IllegalArgumentException("cursors are not supported");
            }
            out.writeBytes(in, HEAD);
            if (params > 0) {
                out.writeBytes(in, (params + 7) / 8);
                if (in.readByte() == 1) {
                    byte[] told = new byte[2 * params];
                    in.readBytes(told);
                    types = told;
                }
                if (types == null) {
                    throw new IllegalArgumentException("no types of parameters");
                }
                out.writeByte(1).writeBytes(types).writeBytes(in);
            }
            byte[] arguments = new byte[out.readableBytes()];
            out.readBytes(arguments);
            return new Work.Execute(schema, text, params, arguments, List.copyOf(longData));
        } catch (IndexOutOfBoundsException e) {
            throw new IllegalArgumentException("they end early", e);
        } finally {
            out.release();
            reset();
        }
    }
}
