package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.nio.charset.StandardCharsets;

/** Writes commands to an engine. */
final class EngineCommands {
    private final Channel channel;

    EngineCommands(Channel channel) {
        this.channel = channel;
    }

    /** Writes a command that consists of a text, given in Latin-1. */
    void text(int command, String latin1) {
        write(command, Unpooled.wrappedBuffer(latin1.getBytes(StandardCharsets.ISO_8859_1)));
    }

    /** Writes the command of work that is done by a text alone, which is all but an execution. */
    void send(Work work) {
        if (work instanceof Work.Query query) {
            text(Commands.QUERY, query.text());
        } else if (work instanceof Work.Prepare prepare) {
            text(Commands.PREPARE, prepare.text());
        } else if (work instanceof Work.UseSchema useSchema) {
            text(Commands.INIT_DB, useSchema.schema());
        }
    }

    /** Writes the execution of the statement with this id, behind the data that is sent ahead of it. */
    void execute(long statementId, Work.Execute work) {
        for (Work.LongData data : work.longData()) {
            ByteBuf arguments =
                    statementArguments(statementId).writeShortLE(data.param()).writeBytes(data.bytes());
            write(Commands.LONG_DATA, arguments);
        }
        write(Commands.EXECUTE, statementArguments(statementId).writeBytes(work.arguments()));
    }

    /** Writes that the statement with this id is not needed any more. */
    void closeStatement(long statementId) {
        write(Commands.CLOSE, statementArguments(statementId));
    }

    /** Runs the callback once all that was written before has been written to the socket. */
    void whenWritten(Runnable callback) {
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> {
            if (done.isSuccess()) {
                callback.run();
            }
        });
    }

    private ByteBuf statementArguments(long statementId) {
        return channel.alloc().buffer().writeIntLE((int) statementId);
    }

    private void write(int command, ByteBuf arguments) {
        ByteBuf frame = Packets.command(channel.alloc(), command, arguments);
        arguments.release();
        ChannelOperations.write(channel, frame);
    }
}
