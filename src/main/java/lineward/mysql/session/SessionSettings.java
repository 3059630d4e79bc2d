package lineward.mysql.session;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import lineward.mysql.wire.LocalResult;

/**
 * The session variables of one client. Each statement may run on another engine, so the variables that affect
 * engines are set on an engine's connection before the statement, and a SELECT of variables is answered here.
 */
public final class SessionSettings {
    private static final int MAX_SETTINGS = 32;
    private static final int MAX_VALUE_LENGTH = 1024;
    private static final String CHARACTER_SET_RESULTS = "character_set_results";
    private static final String CONNECTION_CHARSET = "utf8mb4";
    private static final String NULL = "NULL";
    /** Names that select UTF-8, the character set of every connection to an engine. */
    private static final Set<String> UTF8_CHARSETS = Set.of(CONNECTION_CHARSET, "utf8", "utf8mb3", "default");

    private static final Set<String> AUTOCOMMIT_ON = Set.of("1", "on", "true", "default");

    private final Map<String, String> values = new TreeMap<>();
    private Map<String, String> forwarded = Map.of();

    /** Returns the variables to set on an engine's connection, an immutable map from names to literals. */
    public Map<String, String> forEngines() {
        return forwarded;
    }

    /** Resets all variables to their defaults. */
    public void reset() {
        values.clear();
        forwarded = Map.of();
    }

    /** Returns the SET statement that changes a connection's variables from the first map to the second. */
    public static String changeStatement(Map<String, String> from, Map<String, String> to) {
        List<String> assignments = new ArrayList<>();
        from.keySet().stream()
                .filter(name -> !to.containsKey(name))
                .sorted()
                .forEach(name -> assignments.add("SESSION " + name + "=DEFAULT"));
        to.forEach((name, value) -> {
            if (!value.equals(from.get(name))) {
                assignments.add("SESSION " + name + '=' + value);
            }
        });
        return "SET " + String.join(", ", assignments);
    }

    /**
     * Executes a SET statement.
     *
     * @throws UnsupportedSettingException if a part of it is not supported; nothing is changed then
     */
    public void set(String statement) throws UnsupportedSettingException {
        Map<String, String> changed = new TreeMap<>(values);
        for (Assignment assignment : new SetStatementParser(statement, this::valueOf).parse()) {
            applyAssignment(changed, assignment);
        }
        if (changed.size() > MAX_SETTINGS) {
            throw new UnsupportedSettingException("more than " + MAX_SETTINGS + " settings");
        }
        values.clear();
        values.putAll(changed);
        Map<String, String> forEngines = new TreeMap<>(changed);
        forEngines.keySet().retainAll(SystemVariables.FORWARDED);
        forwarded = Map.copyOf(forEngines);
    }

    private static void applyAssignment(Map<String, String> settings, Assignment assignment)
            throws UnsupportedSettingException {
        String name = assignment.name();
        if (assignment.value().length() > MAX_VALUE_LENGTH) {
            throw new UnsupportedSettingException("a value of " + name + " longer than " + MAX_VALUE_LENGTH);
        }
        String keyword = assignment.unquoted().toLowerCase(Locale.ROOT);
        switch (name) {
            case "autocommit" -> requireAutocommit(keyword);
            case "names" -> applyNames(settings, assignment.value());
            case CHARACTER_SET_RESULTS -> applyResultCharset(settings, keyword);
            case "character_set_client", "character_set_connection" -> requireUtf8(keyword);
            default -> applyVariable(settings, assignment);
        }
    }

    /** Rejects autocommit=0, because transactions of several statements are not supported. */
    private static void requireAutocommit(String value) throws UnsupportedSettingException {
        UnsupportedSettingException.require(AUTOCOMMIT_ON.contains(value), "autocommit=0");
    }

    private static void applyVariable(Map<String, String> settings, Assignment assignment)
            throws UnsupportedSettingException {
        String name = assignment.name();
        UnsupportedSettingException.require(SystemVariables.isSupported(name), "SET " + name);
        if (assignment.isDefault()) {
            settings.remove(name);
        } else {
            settings.put(name, assignment.value());
        }
    }

    /** Supports UTF-8, and NULL, with which the engine does not convert results. */
    private static void applyResultCharset(Map<String, String> settings, String charset)
            throws UnsupportedSettingException {
        if (charset.equals("null")) {
            settings.put(CHARACTER_SET_RESULTS, NULL);
            return;
        }
        requireUtf8(charset);
        settings.remove(CHARACTER_SET_RESULTS);
    }

    private static void applyNames(Map<String, String> settings, String charsetAndCollation)
            throws UnsupportedSettingException {
        String[] names = charsetAndCollation.split(" ", 2);
        requireUtf8(Assignment.unquote(names[0]).toLowerCase(Locale.ROOT));
        settings.remove(CHARACTER_SET_RESULTS);
        if (names.length > 1) {
            settings.put("collation_connection", names[1]);
        }
    }

    /** Rejects other character sets, because texts are forwarded unchanged on connections with utf8mb4. */
    private static void requireUtf8(String charset) throws UnsupportedSettingException {
        UnsupportedSettingException.require(UTF8_CHARSETS.contains(charset), "the character set " + charset);
    }

    /** Returns the value of a variable as the client reads it, or null if it is not known here. */
    String valueOf(String name) {
        String value = values.get(name);
        if (value == null) {
            return SystemVariables.DEFAULTS.get(name);
        }
        return value.equals(NULL) ? "" : Assignment.unquote(value);
    }

    /**
     * Returns the result of a SELECT of variables whose values are known here; empty for any other statement.
     */
    public Optional<LocalResult> queryVariables(String statement) {
        return new VariableQuery(statement, this::valueOf).answer();
    }
}
