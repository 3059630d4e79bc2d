package lineward.mysql.client;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.DecoderException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Supplier;
import lineward.mysql.session.LongParameters;
import lineward.mysql.session.PreparedStatement;
import lineward.mysql.session.PreparedStatements;
import lineward.mysql.session.SessionSettings;
import lineward.mysql.session.SpoolHint;
import lineward.mysql.session.StatementKind;
import lineward.mysql.session.UnsupportedSettingException;
import lineward.mysql.session.Work;
import lineward.mysql.wire.Commands;
import lineward.mysql.wire.Latin1Texts;
import lineward.mysql.wire.LocalResult;
import lineward.mysql.wire.Packets;
import lineward.mysql.wire.SqlError;

/** Executes the commands of one authenticated client: answers them locally or forwards them to an engine. */
final class ClientCommands {
    /** Limit on the total size of the long parameters of one execution. */
    private static final int MAX_LONG_DATA_BYTES = 1 << 20;

    private static final int STATEMENT_ID_BYTES = 4;
    private static final int PARAMETER_NUMBER_BYTES = 2;
    /** Stands for the statement id of a packet that is too short for one; no statement has this id. */
    private static final long NO_STATEMENT_ID = -1;

    private final ClientSession session;
    private final Supplier<String> statistics;
    private final ClientReplyWriter replies;
    private final SessionSettings settings;
    private final PreparedStatements statements;
    private final SpooledResultSender resultSender;
    private final QueryRunner queries;

    ClientCommands(
            ClientSession session,
            Supplier<String> statistics,
            ClientReplyWriter replies,
            SessionSettings settings,
            PreparedStatements statements,
            SpooledResultSender resultSender,
            QueryRunner queries) {
        this.session = session;
        this.statistics = statistics;
        this.replies = replies;
        this.settings = settings;
        this.statements = statements;
        this.resultSender = resultSender;
        this.queries = queries;
    }

    /**
     * Executes one command.
     *
     * @param payload the command byte and its arguments
     * @throws DecoderException if the payload is empty
     */
    void execute(ByteBuf payload) {
        if (!payload.isReadable()) {
            throw new DecoderException("command packet is empty");
        }
        switch (payload.readUnsignedByte()) {
            case Commands.QUIT -> replies.close();
            case Commands.PING -> replies.sendOk();
            case Commands.INIT_DB -> queries.useSchema(payload.toString(StandardCharsets.ISO_8859_1));
            case Commands.QUERY -> executeQuery(payload);
            case Commands.STATISTICS -> sendStatistics();
            case Commands.STMT_PREPARE -> prepare(payload);
            case Commands.STMT_EXECUTE -> executePrepared(payload);
            case Commands.STMT_SEND_LONG_DATA -> addLongData(payload);
            case Commands.STMT_CLOSE -> closeStatement(payload);
            case Commands.STMT_RESET -> resetStatement(payload);
            case Commands.RESET_CONNECTION -> resetConnection();
            case Commands.STMT_FETCH -> fetch(payload);
            default -> replies.sendError(SqlError.unknownCommand());
        }
    }

    private void sendStatistics() {
        ByteBuf packet = Packets.begin(replies.alloc(), replies.nextSequence());
        packet.writeCharSequence(statistics.get(), StandardCharsets.UTF_8);
        replies.send(Packets.finish(packet));
    }

    private void executeQuery(ByteBuf payload) {
        String text = payload.toString(StandardCharsets.UTF_8);
        StatementKind kind = StatementKind.of(text);
        if (kind instanceof StatementKind.Rejected rejected) {
            replies.sendError(rejected.error());
        } else if (kind instanceof StatementKind.NoOperation) {
            replies.sendOk();
        } else if (kind instanceof StatementKind.UseSchema use) {
            queries.useSchema(Latin1Texts.encode(use.schema()));
        } else if (kind instanceof StatementKind.SetVariables) {
            changeSettings(text);
        } else if (kind instanceof StatementKind.ShowWarnings) {
            sendLocalResult(LocalResult.NO_WARNINGS);
        } else {
            answerOrRun(payload, text, kind instanceof StatementKind.Write);
        }
    }

    private void changeSettings(String text) {
        try {
            settings.set(text);
            replies.sendOk();
        } catch (UnsupportedSettingException e) {
            replies.sendError(
                    e.getMessage().startsWith("autocommit")
                            ? SqlError.unsupportedTransaction("SET " + e.getMessage())
                            : SqlError.unsupported(e.getMessage()));
        }
    }

    private void sendLocalResult(LocalResult result) {
        replies.send(result.encode(replies.alloc(), replies.nextSequence(), replies.dialect()));
    }

    private void answerOrRun(ByteBuf payload, String text, boolean writes) {
        Optional<LocalResult> localResult = settings.queryVariables(text);
        if (localResult.isPresent()) {
            sendLocalResult(localResult.get());
            return;
        }
        SpoolHint hint = SpoolHint.of(payload.toString(StandardCharsets.ISO_8859_1));
        Work.TextQuery command = new Work.TextQuery(queries.schema(), hint.textWithoutHint());
        if (writes || !hint.hasKey()) {
            queries.run(command, text, writes, Query.SpoolOptions.IF_LONG);
        } else if (!resultSender.answer(hint, command.digest(), null)) {
            queries.run(command, text, false, new Query.SpoolOptions(hint.key(), command.digest(), null));
        }
    }

    private void prepare(ByteBuf payload) {
        String text = payload.toString(StandardCharsets.UTF_8);
        StatementKind kind = StatementKind.of(text);
        if (kind instanceof StatementKind.Rejected rejected) {
            replies.sendError(rejected.error());
        } else if (!kind.canBePrepared()) {
            replies.sendError(SqlError.notPreparable());
        } else if (!statements.reserve(payload.readableBytes())) {
            replies.sendError(SqlError.tooMany("prepared statements"));
        } else {
            // Preparing a write changes no data, so a failed attempt may be retried like a read.
            String latin1 = payload.toString(StandardCharsets.ISO_8859_1);
            queries.run(new Work.Prepare(queries.schema(), latin1), text, false, Query.SpoolOptions.IF_LONG);
        }
    }

    private void executePrepared(ByteBuf payload) {
        PreparedStatement statement = readStatement(payload);
        if (statement == null) {
            return;
        }
        boolean requestsCursor = PreparedStatement.requestsCursor(payload);
        statement.closeCursor();
        Work.Execute command;
        try {
            command = statement.createExecution(payload);
        } catch (IllegalArgumentException e) {
            replies.sendError(SqlError.wrongArguments(e.getMessage()));
            return;
        }
        String text = Latin1Texts.decode(statement.text());
        boolean writes = StatementKind.of(text) instanceof StatementKind.Write;
        PreparedStatement cursorStatement = requestsCursor && !writes ? statement : null;
        String key = writes ? "" : statement.hint().key();
        String digest = key.isEmpty() ? "" : command.digest();
        if (key.isEmpty() || !resultSender.answer(statement.hint(), digest, cursorStatement)) {
            queries.run(command, text, writes, new Query.SpoolOptions(key, digest, cursorStatement));
        }
    }

    /**
     * Stores a part of a long parameter until the next execution. COM_STMT_SEND_LONG_DATA has no reply: a
     * packet that is too short or names an unknown statement is ignored, and too much data closes the
     * connection, which is the only way to report it.
     */
    private void addLongData(ByteBuf payload) {
        if (payload.readableBytes() < STATEMENT_ID_BYTES + PARAMETER_NUMBER_BYTES) {
            return;
        }
        PreparedStatement statement = statements.get(payload.readUnsignedIntLE());
        if (statement == null) {
            return;
        }
        int parameterNumber = payload.readUnsignedShortLE();
        LongParameters parameters = statement.longParameters();
        if (parameters.valueBytes() + payload.readableBytes() > MAX_LONG_DATA_BYTES) {
            session.closeWithError(SqlError.packetTooLarge(MAX_LONG_DATA_BYTES));
        } else if (!parameters.append(parameterNumber, payload)) {
            session.closeWithError(SqlError.tooMany("long parameters"));
        }
    }

    /** Closes a statement; COM_STMT_CLOSE has no reply. */
    private void closeStatement(ByteBuf payload) {
        statements.close(readStatementId(payload));
    }

    private void resetStatement(ByteBuf payload) {
        PreparedStatement statement = readStatement(payload);
        if (statement != null) {
            statement.reset();
            replies.sendOk();
        }
    }

    private void resetConnection() {
        statements.closeAll();
        settings.reset();
        queries.resetSchema();
        replies.sendOk();
    }

    private void fetch(ByteBuf payload) {
        long id = readStatementId(payload);
        PreparedStatement statement = findStatement(id);
        if (statement == null) {
            return;
        }
        if (!statement.hasOpenCursor() || payload.readableBytes() < Integer.BYTES) {
            replies.sendError(SqlError.noOpenCursor(id));
            return;
        }
        resultSender.fetch(statement, payload.readUnsignedIntLE());
    }

    private PreparedStatement readStatement(ByteBuf payload) {
        return findStatement(readStatementId(payload));
    }

    private static long readStatementId(ByteBuf payload) {
        return payload.readableBytes() < STATEMENT_ID_BYTES ? NO_STATEMENT_ID : payload.readUnsignedIntLE();
    }

    /** Returns the statement with this id; if there is none, sends an error and returns null. */
    private PreparedStatement findStatement(long id) {
        PreparedStatement statement = statements.get(id);
        if (statement == null) {
            replies.sendError(SqlError.unknownStatement(id));
        }
        return statement;
    }
}
