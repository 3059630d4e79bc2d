package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import lineward.spool.SpoolPolicy;
import lineward.spool.SpooledResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The forwarder of one client: its login, its statements, its schema, and one command at a time. */
final class ClientSession extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOG = LoggerFactory.getLogger(ClientSession.class);
    /** Commands that may wait behind the one that runs; past them nothing more is read. */
    private static final int MOST_WAITING = 8;

    private static final int MOST_LONG_DATA = 1 << 20;
    private static final int ID = 4;
    private static final SpoolHint NO_HINT = SpoolHint.of("");

    private final MysqlServer front;
    private final int number;
    private final byte[] nonce = Auth.nonce();
    private final Deque<ByteBuf> waiting = new ArrayDeque<>();
    private final Map<Long, ClientStatement> statements = new HashMap<>();
    private Channel channel;
    private Handshake.Login login;
    private Dialect dialect = Dialect.PLAIN;
    private final long connectedAt = System.nanoTime();
    private boolean loggedIn;
    private boolean ending;
    private int unread;
    private Query running;
    /** What is being sent from the spool; no further command is taken up meanwhile. */
    private Outflow outflow;

    private final SessionSettings settings = new SessionSettings();
    private String schema = "";
    private int sequence;
    private long lastStatement;

    ClientSession(MysqlServer front, int number) {
        super(false);
        this.front = front;
        this.number = number;
    }

    String user() {
        return login.user();
    }

    int number() {
        return number;
    }

    Channel channel() {
        return channel;
    }

    boolean isIdle() {
        return isBetweenCommands() && statements.values().stream().noneMatch(ClientStatement::hasCursor);
    }

    private boolean isBetweenCommands() {
        return running == null && outflow == null && waiting.isEmpty() && unread == 0;
    }

    /** The process is ending and cursors have had their time: the client is told so. */
    void endCursors() {
        if (isBetweenCommands()) {
            sequence = -1;
            endWith(Failure.goingDown());
        }
    }

    /** Returns whether it came before then and has not logged in. */
    boolean isStrangerSince(long nanoTime) {
        return !loggedIn && connectedAt - nanoTime < 0;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        if (front.connected(this)) {
            send(Handshake.greeting(ctx.alloc(), MysqlServer.VERSION, number, nonce));
        } else {
            sequence = -1;
            endWith(Failure.full());
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
        waiting.add(frame);
        next();
    }

    private void next() {
        while (running == null && outflow == null && !ending && !waiting.isEmpty()) {
            ByteBuf frame = waiting.poll();
            try {
                sequence = Packets.sequence(frame);
                ByteBuf in = Packets.payload(frame);
                if (!loggedIn) {
                    logIn(in);
                } else {
                    command(in);
                }
            } finally {
                frame.release();
            }
        }
        flow();
    }

    private void flow() {
        channel.config().setAutoRead(waiting.size() < MOST_WAITING);
    }

    private void logIn(ByteBuf in) {
        byte[] proof;
        String plugin;
        if (login == null) {
            login = Handshake.readLogin(in);
            dialect = Dialect.of(login.capabilities());
            plugin = login.plugin();
            proof = login.proof();
            if (!Auth.known(plugin)) {
                send(Handshake.switchTo(channel.alloc(), sequence + 1, Auth.NATIVE, nonce));
                return;
            }
        } else {
            plugin = Auth.NATIVE;
            proof = new byte[in.readableBytes()];
            in.readBytes(proof);
        }
        String password = front.password(login.user());
        if (password == null || !Auth.proves(plugin, password, nonce, proof)) {
            endWith(Failure.denied(login.user()));
            return;
        }
        loggedIn = true;
        if (plugin.equals(Auth.SHA2) && !password.isEmpty()) {
            // The proof was enough: the client must hear so before the OK.
            send(Handshake.bytes(channel.alloc(), sequence + 1, new byte[] {1, 3}));
            sequence++;
        }
        if (login.schema().isEmpty()) {
            sendOk();
        } else {
            use(Texts.latin1(login.schema()));
        }
    }

    private void command(ByteBuf in) {
        if (!in.isReadable()) {
            throw new DecoderException("empty command");
        }
        int command = in.readUnsignedByte();
        switch (command) {
            case Commands.QUIT -> channel.close();
            case Commands.PING -> sendOk();
            case Commands.INIT_DB -> use(in.toString(StandardCharsets.ISO_8859_1));
            case Commands.QUERY -> query(in);
            case Commands.STATISTICS -> {
                ByteBuf out = Packets.begin(channel.alloc(), sequence + 1);
                out.writeCharSequence(front.statistics(), StandardCharsets.UTF_8);
                send(Packets.done(out));
            }
            case Commands.PREPARE -> prepare(in);
            case Commands.EXECUTE -> execute(in);
            case Commands.LONG_DATA -> longData(in);
            case Commands.CLOSE -> {
                ClientStatement closed = in.readableBytes() < ID ? null : statements.remove(in.readUnsignedIntLE());
                if (closed != null) {
                    closed.closeCursor();
                    front.forget(closed.kept);
                }
            }
            case Commands.RESET -> {
                ClientStatement statement = statement(in);
                if (statement != null) {
                    statement.reset();
                    sendOk();
                }
            }
            case Commands.RESET_CONNECTION -> {
                forgetStatements();
                settings.reset();
                schema = "";
                sendOk();
            }
            case Commands.FETCH -> fetch(in);
            default -> sendError(Failure.unknownCommand());
        }
    }

    private void query(ByteBuf in) {
        String text = in.toString(StandardCharsets.UTF_8);
        StatementKind kind = StatementKind.of(text);
        if (kind instanceof StatementKind.Refused refused) {
            sendError(refused.failure());
        } else if (kind instanceof StatementKind.Nothing) {
            sendOk();
        } else if (kind instanceof StatementKind.Use u) {
            use(Texts.latin1(u.schema()));
        } else if (kind instanceof StatementKind.Setting) {
            set(text);
        } else if (kind instanceof StatementKind.Warnings) {
            send(LocalResult.of(channel.alloc(), sequence + 1, dialect, SessionSettings.NO_WARNINGS));
        } else {
            SessionSettings.Reading reading = settings.read(text);
            if (reading == null) {
                runText(in.toString(StandardCharsets.ISO_8859_1), text, kind instanceof StatementKind.Write);
            } else {
                send(LocalResult.of(channel.alloc(), sequence + 1, dialect, reading));
            }
        }
    }

    private void set(String text) {
        try {
            settings.take(text);
            sendOk();
        } catch (SessionSettings.UnkeepableException e) {
            sendError(
                    e.getMessage().startsWith("autocommit")
                            ? Failure.noTransaction("SET " + e.getMessage())
                            : Failure.unsupported(e.getMessage()));
        }
    }

    private void runText(String latin1, String text, boolean writes) {
        SpoolHint hint = SpoolHint.of(latin1);
        Work.Query work = new Work.Query(schema, hint.statement());
        if (writes || hint.key().isEmpty()) {
            run(work, text, writes, Query.Spooling.PLAIN);
        } else if (!fromSpool(hint, work.digest(), null)) {
            run(work, text, false, new Query.Spooling(hint.key(), work.digest(), null));
        }
    }

    /** Returns whether the client has been answered: by the result under its key, or because there is none. */
    private boolean fromSpool(SpoolHint hint, String digest, ClientStatement cursor) {
        SpooledResult result = front.spool().find(login.user(), hint.key());
        if (result == null && hint.isPart()) {
            sendError(Failure.noResult());
        } else if (result != null && !result.statement().equals(digest)) {
            sendError(Failure.otherResult());
        } else if (result != null && (result.isWhole() || !hint.isPart())) {
            flowOut(result, hint, cursor);
        } else if (result != null) {
            sendError(Failure.noResult());
        }
        return result != null || hint.isPart();
    }

    private void flowOut(SpooledResult result, SpoolHint hint, ClientStatement cursor) {
        if (cursor != null || hint.isPart()) {
            OpenCursor rows = new OpenCursor(
                    channel,
                    result,
                    dialect,
                    hint.from(),
                    cursor != null ? -1 : hint.rows() < 0 ? Long.MAX_VALUE : hint.rows(),
                    this::send,
                    this::flowed);
            if (cursor != null) {
                cursor.closeCursor();
                cursor.cursor = rows;
            }
            outflow = rows;
        } else {
            outflow = new ReplyPump(channel, result, dialect, this::send, this::flowed);
        }
        outflow.move();
    }

    /** What flows from the spool has come to an end, or to a pause between two fetches. */
    private void flowed(SpooledResult.Ahead how, int next) {
        if (how == SpooledResult.Ahead.LAPSED && !channel.isWritable()) {
            channel.close();
        } else if (next > 0 && how == SpooledResult.Ahead.BROKEN) {
            send(Packets.error(channel.alloc(), next, Failure.brokenOff()));
        } else if (next > 0 && how == SpooledResult.Ahead.LAPSED) {
            send(Packets.error(channel.alloc(), next, Failure.lapsed()));
        }
        outflow = null;
        channel.eventLoop().execute(this::next);
    }

    private void fetch(ByteBuf in) {
        long id = in.readableBytes() < ID ? -1 : in.getUnsignedIntLE(in.readerIndex());
        ClientStatement statement = statement(in);
        if (statement == null) {
            return;
        }
        if (!statement.hasCursor() || in.readableBytes() < ID) {
            sendError(Failure.noCursor(id));
            return;
        }
        outflow = statement.cursor;
        statement.cursor.fetch(in.readUnsignedIntLE());
    }

    private void use(String name) {
        run(new Work.UseSchema(name), "USE", false, Query.Spooling.PLAIN);
    }

    private void prepare(ByteBuf in) {
        String text = in.toString(StandardCharsets.UTF_8);
        StatementKind kind = StatementKind.of(text);
        if (kind instanceof StatementKind.Refused refused) {
            sendError(refused.failure());
        } else if (kind instanceof StatementKind.Use
                || kind instanceof StatementKind.Setting
                || kind instanceof StatementKind.Warnings) {
            sendError(new Failure(1295, "HY000", "USE, SET and SHOW WARNINGS can't be prepared"));
        } else if (statements.size() >= front.maxStatements() || !front.keep(in.readableBytes())) {
            sendError(Failure.tooMany("prepared statements"));
        } else {
            // To prepare changes nothing, whatever the statement does when it is executed.
            String latin1 = in.toString(StandardCharsets.ISO_8859_1);
            run(new Work.Prepare(schema, latin1), text, false, Query.Spooling.PLAIN);
        }
    }

    private ClientStatement statement(ByteBuf in) {
        long id = in.readableBytes() < ID ? -1 : in.readUnsignedIntLE();
        ClientStatement statement = statements.get(id);
        if (statement == null) {
            sendError(Failure.unknownStatement(id));
        }
        return statement;
    }

    private void execute(ByteBuf in) {
        ClientStatement statement = statement(in);
        if (statement == null) {
            return;
        }
        Work.Execute work;
        boolean cursor = ClientStatement.wantsCursor(in);
        statement.closeCursor();
        try {
            work = statement.execute(in);
        } catch (IllegalArgumentException e) {
            sendError(Failure.wrongArguments(e.getMessage()));
            return;
        }
        String text = Texts.utf8(statement.text);
        boolean writes = StatementKind.of(text) instanceof StatementKind.Write;
        ClientStatement cursorOf = cursor && !writes ? statement : null;
        String key = writes ? "" : statement.hint.key();
        String digest = key.isEmpty() ? "" : work.digest();
        if (key.isEmpty() || !fromSpool(statement.hint, digest, cursorOf)) {
            run(work, text, writes, new Query.Spooling(key, digest, cursorOf));
        }
    }

    /** Nothing answers this command; too much of it makes the execution fail, as its data is not whole. */
    private void longData(ByteBuf in) {
        if (in.readableBytes() < ID + 2) {
            return;
        }
        ClientStatement statement = statements.get(in.readUnsignedIntLE());
        if (statement != null) {
            int param = in.readUnsignedShortLE();
            if (statement.longBytes() + in.readableBytes() > MOST_LONG_DATA) {
                endWith(Failure.tooLarge(MOST_LONG_DATA));
                return;
            }
            byte[] bytes = new byte[in.readableBytes()];
            in.readBytes(bytes);
            statement.add(new Work.LongData(param, bytes));
        }
    }

    private void run(Work work, String text, boolean writes, Query.Spooling spooling) {
        Query query = new Query(this, work, front.typeOf(text, writes), settings.forEngines(), spooling);
        running = query;
        if (!writes && front.spool().admit(login.user()) instanceof SpoolPolicy.Turned turned) {
            front.turnedAway(query);
            refuse(query, turned.retryAfterMs());
            return;
        }
        if (!front.take(query)) {
            refuse(query, MysqlServer.BUSY_RETRY_MS);
        }
    }

    /** The whole reply of an engine, as the bytes that came but for the ids that are the front's own. */
    void served(Query query, ByteBuf reply) {
        if (reply == null) {
            opened(query);
            passed(query);
            return;
        }
        if (running != query || !channel.isActive()) {
            reply.release();
            return;
        }
        boolean good = Packets.first(reply) != Packets.ERR;
        if (query.work instanceof Work.Prepare w) {
            if (good) {
                int params = reply.getUnsignedShortLE(reply.readerIndex() + Packets.HEAD + 7);
                SpoolHint hint = SpoolHint.of(w.text());
                statements.put(
                        ++lastStatement,
                        new ClientStatement(w.schema(), hint, params, w.text().length()));
                reply.setIntLE(reply.readerIndex() + Packets.HEAD + 1, (int) lastStatement);
            } else {
                front.forget(w.text().length());
            }
        } else if (query.work instanceof Work.UseSchema w) {
            schema = good ? w.schema() : schema;
            reply.setByte(reply.readerIndex() + Packets.HEAD - 1, sequence + 1);
        }
        send(dialect.whole(channel.alloc(), reply, good && query.work instanceof Work.Prepare));
        over();
    }

    /** The spooled result of the client's command goes out now, whole or not. */
    void opened(Query query) {
        if (running == query && channel.isActive()) {
            flowOut(query.spooled, NO_HINT, query.spooling.cursor());
        } else {
            query.spooled.abandon();
        }
    }

    /** The run whose result goes out has ended; what is left of it, or an error, follows from the spool. */
    void passed(Query query) {
        if (running == query) {
            over();
        }
    }

    void refuse(Query query, long retryAfterMs) {
        notServed(query, Failure.refused(retryAfterMs));
    }

    void fail(Query query) {
        notServed(query, Failure.failed());
    }

    private void notServed(Query query, Failure failure) {
        if (running == query) {
            if (query.work instanceof Work.Prepare w) {
                front.forget(w.text().length());
            }
            sendError(failure);
            over();
        }
    }

    private void over() {
        running = null;
        channel.eventLoop().execute(this::next);
    }

    private void sendOk() {
        send(Packets.ok(channel.alloc(), sequence + 1));
    }

    private void sendError(Failure failure) {
        send(Packets.error(channel.alloc(), sequence + 1, failure));
    }

    /** A connection that is to end waits until its client has been sent all of its answers. */
    private ChannelFuture send(ByteBuf frames) {
        unread++;
        return channel.writeAndFlush(frames).addListener(done -> unread--);
    }

    private void endWith(Failure failure) {
        ending = true;
        send(Packets.error(channel.alloc(), sequence + 1, failure)).addListener(done -> channel.close());
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (outflow != null && channel.isWritable()) {
            outflow.move();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        LOG.info("client {} closed: {}", number, cause.toString());
        if (cause instanceof TooLongFrameException || cause.getCause() instanceof TooLongFrameException) {
            sequence = 0;
            endWith(Failure.tooLarge(front.maxPacket()));
        } else if (login == null && cause instanceof DecoderException) {
            sequence = 1;
            endWith(Failure.badHandshake());
        } else {
            ctx.close();
        }
    }

    /** Who has hung up waits for nothing. */
    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        front.disconnected(this);
        waiting.forEach(ByteBuf::release);
        waiting.clear();
        if (running != null) {
            Query left = running;
            running = null;
            if (left.work instanceof Work.Prepare w) {
                front.forget(w.text().length());
            }
            front.abort(left);
        }
        if (outflow != null) {
            outflow.close();
            outflow = null;
        }
        forgetStatements();
    }

    private void forgetStatements() {
        statements.values().forEach(s -> {
            s.closeCursor();
            front.forget(s.kept);
        });
        statements.clear();
    }
}
