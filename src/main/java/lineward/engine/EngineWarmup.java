package lineward.engine;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Plays runs through a connection that leads nowhere, so that none of its code runs cold when it counts. */
public final class EngineWarmup {
    private static final int ROUNDS = 60;

    static final EngineConnection.Owner NOBODY = new EngineConnection.Owner() {
        @Override
        public void closed(EngineConnection link) {}

        @Override
        public void sent() {}

        @Override
        public void up(EngineConnection link) {}

        @Override
        public void heard() {}

        @Override
        public void lost(List<QueryAttempt> runs) {}

        @Override
        public void unsent(List<QueryAttempt> runs, Throwable cause) {}
    };

    private EngineWarmup() {}

    /** Plays some runs of two pages each. */
    public static void run() {
        EngineConnection link = new EngineConnection(NOBODY);
        EmbeddedChannel channel = new EmbeddedChannel(new ReplyDecoder(), link);
        link.connecting(channel);
        ByteBuf statement = Unpooled.copiedBuffer("select 1", StandardCharsets.US_ASCII);
        for (int i = 0; i < ROUNDS; i++) {
            String id = String.format("%016x", i);
            QueryAttempt.Timing times = new QueryAttempt.Timing(1000, 1000);
            link.start(new QueryAttempt(id, "rehearsal", statement, times, 1, 1, (outcome, result) -> {
                if (result != null) {
                    result.release();
                }
            }));
            for (String reply : new String[] {" HIT total=2 6\r\na\tb\tc\n\r\n", " PART index=1 6\r\nd\te\tf\n\r\n"}) {
                channel.writeInbound(Unpooled.copiedBuffer(id + reply, StandardCharsets.US_ASCII));
            }
            for (ByteBuf said = channel.readOutbound(); said != null; said = channel.readOutbound()) {
                said.release();
            }
        }
        channel.close();
        statement.release();
    }
}
