package lineward.mysql.engine;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.nio.charset.StandardCharsets;
import lineward.mysql.session.Work;
import lineward.mysql.wire.ChannelOperations;
import lineward.mysql.wire.Commands;
import lineward.mysql.wire.Packets;

/** Encodes commands and writes them to the connection to an engine. */
final class EngineCommandWriter {
    private final Channel channel;

    EngineCommandWriter(Channel channel) {
        this.channel = channel;
    }

    /**
     * Writes a command with a text argument, which is encoded as in {@link lineward.mysql.wire.Latin1Texts}.
     */
    void sendText(int commandByte, String latin1) {
        write(commandByte, Unpooled.wrappedBuffer(latin1.getBytes(StandardCharsets.ISO_8859_1)));
    }

    /** Writes any command except a {@link Work.Execute}. */
    void send(Work command) {
        if (command instanceof Work.TextQuery query) {
            sendText(Commands.QUERY, query.text());
        } else if (command instanceof Work.Prepare prepare) {
            sendText(Commands.STMT_PREPARE, prepare.text());
        } else if (command instanceof Work.UseSchema useSchema) {
            sendText(Commands.INIT_DB, useSchema.schema());
        }
    }

    /** Writes the parts of long parameters, and then the execution of the prepared statement with this id. */
    void execute(long statementId, Work.Execute command) {
        for (Work.LongData data : command.longData()) {
            ByteBuf arguments = statementArguments(statementId)
                    .writeShortLE(data.parameterIndex())
                    .writeBytes(data.bytes());
            write(Commands.STMT_SEND_LONG_DATA, arguments);
        }
        write(Commands.STMT_EXECUTE, statementArguments(statementId).writeBytes(command.arguments()));
    }

    /** Closes the prepared statement with this id; the engine sends no reply. */
    void closeStatement(long statementId) {
        write(Commands.STMT_CLOSE, statementArguments(statementId));
    }

    /** Runs the callback once all earlier commands have been written to the socket, but not if that fails. */
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

    private void write(int commandByte, ByteBuf arguments) {
        ByteBuf frame = Packets.command(channel.alloc(), commandByte, arguments);
        arguments.release();
        ChannelOperations.write(channel, frame);
    }
}
