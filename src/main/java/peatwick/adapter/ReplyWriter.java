package peatwick.adapter;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import peatwick.Front;

/** Writes the actions of instances as one reply frame. */
final class ReplyWriter {
    private static final int RECORD = 24;
    private static final int EVERYONE = -1;
    private ByteBuffer records = ByteBuffer.allocate(1 << 16);
    private final ByteArrayOutputStream tail = new ByteArrayOutputStream();
    private int count;

    void clear() {
        records.clear();
        tail.reset();
        count = 0;
    }

    void onBehalf(int instance) {
        end(start(0x1d).putInt(instance));
    }

    void bailOut(String text) {
        text(0x19, text);
    }

    void write(List<Front.Action> actions) {
        for (Front.Action action : actions) {
            write(action);
        }
    }

    private void write(Front.Action action) {
        if (action instanceof Front.Send a) {
            ByteBuffer b = start(0x10).putInt((int) a.request());
            end(b.putInt((int) (a.engine() >>> 16)).putShort((short) a.engine()).putDouble(a.maxWait()));
        } else if (action instanceof Front.Cancel a) {
            end(start(0x13).putInt((int) a.request()).putShort((short) a.attempt()));
        } else if (action instanceof Front.Refuse a) {
            end(start(0x11).putInt((int) a.request()).putDouble(a.retryAfter()));
        } else if (action instanceof Front.Fail a) {
            end(start(0x12).putInt((int) a.request()));
        } else if (action instanceof Front.SetLimits a) {
            end(start(0x1c)
                    .putInt((int) a.request())
                    .putFloat((float) a.grantMb())
                    .put((byte) a.priority()));
        } else if (action instanceof Front.Probe a) {
            end(start(0x15).putInt((int) (a.engine() >>> 16)).putShort((short) a.engine()));
        } else if (action instanceof Front.Announce a) {
            ByteBuffer b = start(0x17).putInt(EVERYONE).putInt(tail.size());
            end(b.putInt(a.octets().length));
            tail.writeBytes(a.octets());
        } else if (action instanceof Front.After a) {
            end(start(0x14).putDouble(a.delay()).putInt(a.token()));
        } else if (action instanceof Front.Subscribe) {
            end(start(0x1a).put((byte) 1));
        } else if (action instanceof Front.Log a) {
            text(0x18, a.text());
        }
    }

    byte[] frame() {
        int body = count * RECORD;
        ByteBuffer frame = ByteBuffer.allocate(8 + body + tail.size());
        frame.putInt(count)
                .putInt(body + tail.size())
                .put(records.array(), 0, body)
                .put(tail.toByteArray());
        return frame.array();
    }

    private void text(int code, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        end(start(code).putInt(tail.size()).putInt(bytes.length));
        tail.writeBytes(bytes);
    }

    private ByteBuffer start(int code) {
        if (records.remaining() < RECORD) {
            records = ByteBuffer.allocate(records.capacity() * 2).put(records.flip());
        }
        return records.put((byte) code);
    }

    private void end(ByteBuffer b) {
        count++;
        while (b.position() < count * RECORD) {
            b.put((byte) 0);
        }
    }
}
