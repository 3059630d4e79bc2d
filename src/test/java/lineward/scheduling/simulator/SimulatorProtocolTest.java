package lineward.scheduling.simulator;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import lineward.scheduling.Idempotence;
import lineward.scheduling.SchedulerAction;
import lineward.scheduling.SchedulerEvent;
import lineward.scheduling.SchedulerSettings;
import org.testng.annotations.Test;

/** Tests the frames and records of the simulator's protocol, and the keys of the settings. */
public class SimulatorProtocolTest {
    private static final String SETTINGS = "{\"classes\":[{\"aim\":1000,\"deadline\":5000,"
            + "\"effect\":\"retryable\",\"value\":1}],\"skus\":[\"a\"],\"zones\":[\"z\"],\"peers-total\":1,"
            + "\"limits\":{\"max-attempts\":3,\"cancel\":true},\"never-heard-of\":{\"x\":1}}";

    private static byte[] frame(int count, double clock, byte[] tail, ByteBuffer... records) {
        byte[] bytes = new byte[16 + count * 48 + tail.length];
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        buffer.putInt(count).putInt(8 + count * 48 + tail.length).putDouble(clock);
        for (ByteBuffer entry : records) {
            buffer.put(entry.rewind());
        }
        buffer.put(tail);
        return bytes;
    }

    private static ByteBuffer record(int code) {
        return ByteBuffer.allocate(48).put((byte) code);
    }

    private static String errorOutput(byte[] input) {
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream errors = new PrintStream(err, true, StandardCharsets.UTF_8);
        int status = Main.run(new ByteArrayInputStream(input), out, errors);
        assertThat(status).isNotZero();
        return err.toString(StandardCharsets.UTF_8);
    }

    private static byte[] frameWithARequest() {
        byte[] settings = SETTINGS.getBytes(StandardCharsets.UTF_8);
        ByteBuffer entry = ByteBuffer.allocate(24)
                .putShort((short) 0)
                .putFloat(1)
                .putInt(0x0a124a07)
                .putShort((short) 0x232b)
                .putDouble(0)
                .put((byte) 2);
        byte[] tail = ByteBuffer.allocate(settings.length + 24)
                .put(settings)
                .put(entry.array())
                .array();
        return frame(
                5,
                1000,
                tail,
                record(0x18).putInt(3),
                record(0x13).putLong(9).putInt(0).putInt(settings.length),
                record(0x1b).putShort((short) 0).putInt(settings.length).putInt(1),
                record(0x16).put((byte) 1).putInt(1).putShort((short) 0),
                record(0x12)
                        .putInt(0x5d3a91c4)
                        .put((byte) 0)
                        .putInt(0)
                        .putLong(0)
                        .putDouble(4000)
                        .putDouble(0));
    }

    @Test
    public void openedInstanceStartsAnAttemptForARequest() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int status = Main.run(new ByteArrayInputStream(frameWithARequest()), out, System.err);
        assertThat(status).isZero();
        ByteBuffer reply = ByteBuffer.wrap(out.toByteArray());
        assertThat(reply.getInt(4)).isEqualTo(reply.limit() - 8);
        assertThat(reply.get(8)).isEqualTo((byte) 0x1d);
        assertThat(reply.getInt(9)).isEqualTo(3);
        assertThat(reply.get(32)).isEqualTo((byte) 0x10);
        assertThat(reply.getInt(33)).isEqualTo(0x5d3a91c4);
        assertThat(reply.getInt(37)).isEqualTo(0x0a124a07);
        assertThat(reply.getShort(41)).isEqualTo((short) 0x232b);
    }

    @Test
    public void anEmptyBatchGetsAnEmptyReply() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        assertThat(Main.run(new ByteArrayInputStream(frame(0, 1, new byte[0])), out, System.err))
                .isZero();
        assertThat(out.toByteArray()).containsExactly(0, 0, 0, 0, 0, 0, 0, 0);
    }

    @Test
    public void malformedInputIsReported() {
        assertThat(errorOutput(new byte[] {0, 0, 0})).contains("inside a frame");
        assertThat(errorOutput(frame(1, 1, new byte[0], record(0x63)))).contains("before any instance");
        byte[] unknown = frame(2, 1, new byte[0], record(0x18), record(0x63));
        assertThat(errorOutput(unknown)).contains("unknown event code 99");
        byte[] wrongLength = frame(0, 1, new byte[0]);
        wrongLength[3] = 9;
        assertThat(errorOutput(wrongLength)).contains("does not fit");
        assertThat(errorOutput(frame(
                        2,
                        1,
                        "{oops".getBytes(StandardCharsets.UTF_8),
                        record(0x18),
                        record(0x13).putLong(1).putInt(0).putInt(5))))
                .contains("not JSON");
        assertThat(errorOutput(frame(
                        2,
                        1,
                        new byte[0],
                        record(0x18),
                        record(0x13).putLong(1).putInt(0).putInt(5))))
                .contains("past the end");
    }

    @Test
    public void settingsAreParsedAndValidated() {
        SchedulerSettings settings = SettingsReader.read(SETTINGS);
        assertThat(settings.classes().get(0).repeatability().idempotence()).isEqualTo(Idempotence.IDEMPOTENT);
        assertThat(settings.classes().get(0).placement().kinds()).isNull();
        assertThat(settings.rules().retryBudget().windowMs()).isZero();
        assertThat(settings.limits().attempts().maxPerRequest()).isEqualTo(3);
        assertThatThrownBy(() -> SettingsReader.read("{\"classes\":[]}")).hasMessageContaining("classes");
        String withUnknownKind = SETTINGS.replace("\"value\"", "\"runs-on\":[\"q\"],\"value\"");
        assertThatThrownBy(() -> SettingsReader.read(withUnknownKind)).hasMessageContaining("unknown kind");
    }

    @Test
    public void tenantAndGossipAreDecodedAndGossipIsEncoded() {
        java.util.List<SchedulerEvent> events = new java.util.ArrayList<>();
        BatchReader.Sink sink = new BatchReader.Sink() {
            @Override
            public void selectInstance(int instance) {}

            @Override
            public void openInstance(long seed, String settings) {}

            @Override
            public void killInstance() {}

            @Override
            public void add(SchedulerEvent event) {
                events.add(event);
            }
        };
        byte[] batch = frame(
                3,
                1000,
                new byte[] {9, 8, 7},
                record(0x18).putInt(3),
                record(0x12)
                        .putInt(5)
                        .put((byte) 0)
                        .putInt(2)
                        .putLong(0)
                        .putDouble(4000)
                        .putDouble(0),
                record(0x1c).putInt(4).putInt(1).putInt(2));
        new BatchReader().read(3, ByteBuffer.wrap(batch).slice(8, batch.length - 8), sink);
        assertThat(((SchedulerEvent.RequestArrived) events.get(0)).tenant()).isEqualTo(2);
        SchedulerEvent.GossipReceived gossip = (SchedulerEvent.GossipReceived) events.get(1);
        assertThat(gossip.sender()).isEqualTo(4);
        assertThat(gossip.payload()).containsExactly(8, 7);
        ReplyWriter writer = new ReplyWriter();
        writer.write(java.util.List.of(new SchedulerAction.BroadcastGossip(new byte[] {5, 6})));
        ByteBuffer reply = ByteBuffer.wrap(writer.frame());
        assertThat(reply.get(8)).isEqualTo((byte) 0x17);
        assertThat(reply.getInt(9)).as("to all front ends").isEqualTo(-1);
        assertThat(reply.getInt(17)).isEqualTo(2);
        assertThat(reply.get(32)).isEqualTo((byte) 5);
    }
}
