package lineward.engine;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Plays runs through a connection that leads nowhere, so that none of its code runs cold when it counts. */
public final class Rehearsal {
    private static final int ROUNDS = 60;

    static final Link.Owner NOBODY = new Link.Owner() {
        @Override
        public void closed(Link link) {}

        @Override
        public void sent() {}

        @Override
        public void up(Link link) {}

        @Override
        public void heard() {}

        @Override
        public void lost(List<Run> runs) {}

        @Override
        public void unsent(List<Run> runs, Throwable cause) {}
    };

    private Rehearsal() {}

    /** Plays some runs of two pages each. */
    public static void play() {
        Link link = new Link(NOBODY);
        EmbeddedChannel channel = new EmbeddedChannel(new ReplyDecoder(), link);
        link.connecting(channel);
        ByteBuf statement = Unpooled.copiedBuffer("select 1", StandardCharsets.US_ASCII);
        for (int i = 0; i < ROUNDS; i++) {
            String id = String.format("%016x", i);
            Run.Times times = new Run.Times(1000, 1000);
            link.start(new Run(id, "rehearsal", statement, times, 1, 1, (outcome, result) -> {
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
