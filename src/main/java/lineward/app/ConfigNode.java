package lineward.app;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A value of a configuration file, with the file and key that error messages name.
 *
 * @param file the file that contains the value
 * @param key path of the value, separated by dots; empty for the whole file
 * @param value the value; a missing node if the file does not contain it
 */
record ConfigNode(String file, String key, JsonNode value) {
    private static final Pattern ADDRESS = Pattern.compile("([^\\s:]+):([0-9]{1,5})");
    private static final int HIGHEST_PORT = 65535;

    /** Returns the root of a file. */
    static ConfigNode root(String file, JsonNode value) {
        return new ConfigNode(file, "", value);
    }

    /** Returns the member with this name, even if the file does not contain it. */
    ConfigNode member(String name) {
        return new ConfigNode(file, key.isEmpty() ? name : key + '.' + name, value.path(name));
    }

    /** Returns the elements of a list; none if the file does not contain it. */
    List<ConfigNode> elements() {
        List<ConfigNode> elements = new ArrayList<>();
        for (JsonNode element : value) {
            elements.add(new ConfigNode(file, key + '[' + elements.size() + ']', element));
        }
        return elements;
    }

    /** Returns whether the file contains a value other than null here. */
    boolean isPresent() {
        return !value.isMissingNode() && !value.isNull();
    }

    /** Returns the value as text, or the fallback if it is missing or null. */
    String text(String fallback) {
        return value.asText(fallback);
    }

    /** Returns the value as text; throws a {@link ConfigException} if that is missing or empty. */
    String requiredText() {
        String text = text("");
        if (text.isEmpty()) {
            throw invalid("is missing", "a non-empty string");
        }
        return text;
    }

    /**
     * Returns a positive integer, or the fallback if the value is missing; throws a {@link ConfigException}
     * for any other value.
     */
    int positiveInt(int fallback) {
        boolean isPositive = value.isInt() && value.asInt() > 0;
        if (!value.isMissingNode() && !isPositive) {
            throw notPositive();
        }
        return value.asInt(fallback);
    }

    /**
     * Returns a positive integer, which may be quoted, or the fallback if the value is not a number. Throws a
     * {@link ConfigException} if the number is 0 or less.
     */
    int lenientPositiveInt(int fallback) {
        int number = value.asInt(fallback);
        if (number <= 0) {
            throw notPositive();
        }
        return number;
    }

    private ConfigException notPositive() {
        return invalid("is not a positive integer", "an integer above 0");
    }

    /**
     * Returns the address, resolved if its host name is known; throws a {@link ConfigException} if the value
     * has another form.
     */
    InetSocketAddress address() {
        Matcher parts = ADDRESS.matcher(text(""));
        if (!parts.matches() || Integer.parseInt(parts.group(2)) > HIGHEST_PORT) {
            throw invalid("is not an address with a port", "HOST:PORT with a port up to " + HIGHEST_PORT);
        }
        return new InetSocketAddress(parts.group(1), Integer.parseInt(parts.group(2)));
    }

    /** Returns an exception for this value. */
    ConfigException invalid(String reason, String allowed) {
        return invalid(reason, allowed, null);
    }

    /** Returns an exception for this value, with its cause. */
    ConfigException invalid(String reason, String allowed, Throwable cause) {
        return ConfigException.invalid(file, key, reason, describe(), allowed, cause);
    }

    /**
     * Returns the value as messages show it. Lists and tables are left out: they are long and may contain
     * passwords.
     */
    private String describe() {
        if (value.isMissingNode()) {
            return "nothing";
        }
        return value.isContainerNode() ? "a list or table" : value.toString();
    }
}
