package lineward.mysql;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The session of one connection to a {@link TestingMysqlEngine}. */
final class TestingMysqlSession {
    private static final byte[] NONCE = "abcdefghijklmnopqrst".getBytes(StandardCharsets.US_ASCII);
    private static final Pattern SETTING = Pattern.compile("SESSION (\\w+)=('[^']*'|[^,]+)");
    private static final String SESSION_CHANGES = "^call |/\\*M?!|temporary|^flush ";
    private static final Pattern SESSION_CHANGE = Pattern.compile(SESSION_CHANGES, Pattern.CASE_INSENSITIVE);

    final long id;
    final MysqlPacketSocket packets;
    final Map<Long, String> preparedTexts = new HashMap<>();
    /** The settings at the preparation of each statement. */
    final Map<Long, String> settingsAtPreparation = new HashMap<>();

    final Map<String, String> settings = new TreeMap<>();
    String schema = "";
    /** The texts of the statements that have changed the session. */
    String sessionChanges = "";

    TestingMysqlSession(long id, MysqlPacketSocket packets) {
        this.id = id;
        this.packets = packets;
    }

    void sendGreeting() throws IOException {
        packets.write(
                10,
                "8.0.36",
                0,
                id,
                Arrays.copyOf(NONCE, 8),
                0,
                0x0f,
                0xa2,
                45,
                2,
                0,
                0x08,
                0,
                21,
                new byte[10],
                Arrays.copyOfRange(NONCE, 8, 20),
                0,
                "mysql_native_password",
                0);
    }

    void recordChange(String text) {
        if (SESSION_CHANGE.matcher(text).find()) {
            sessionChanges += text;
        }
    }

    /** Applies the settings of a SET statement in order; stops and returns false at an invalid one. */
    boolean applySettings(String statement) {
        Matcher setting = SETTING.matcher(statement);
        while (setting.find()) {
            if (setting.group(2).contains("bad_")) {
                return false;
            }
            if (setting.group(2).equals("DEFAULT")) {
                settings.remove(setting.group(1));
            } else {
                settings.put(setting.group(1), setting.group(2));
            }
        }
        return true;
    }
}
