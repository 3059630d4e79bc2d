package peatwick.adapter;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import peatwick.Front;

/** Turns the settings text of the wire into the module's settings; keys unknown to it are passed over. */
public final class SettingsReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    private SettingsReader() {}

    /**
     * @param text the settings as JSON
     * @return the module's settings
     */
    public static Front.Settings read(String text) {
        JsonNode root;
        try {
            root = JSON.readTree(text);
        } catch (JsonProcessingException e) {
            throw new WireException("settings are not JSON: " + e.getOriginalMessage());
        }
        if (root == null || !root.isObject()) {
            throw new WireException("settings are not a JSON object");
        }
        try {
            return translate(root);
        } catch (IllegalArgumentException e) {
            throw new WireException(e.getMessage());
        }
    }

    private static Front.Settings translate(JsonNode root) {
        JsonNode special = root.path("specifics");
        List<String> kindNames = names(root.path("skus"));
        List<String> zoneNames = names(root.path("zones"));
        List<Front.Kind> kinds = new ArrayList<>();
        for (int i = 0; i < Math.max(1, kindNames.size()); i++) {
            kinds.add(new Front.Kind(
                    special.path("cpu-of-kind").path(i).asInt(1),
                    special.path("ram-of-kind-mb").path(i).asDouble(0)));
        }
        List<Front.RequestClass> classes = new ArrayList<>();
        for (JsonNode c : root.path("classes")) {
            int place = classes.size();
            classes.add(new Front.RequestClass(
                    c.path("aim").asDouble(),
                    c.path("aim-stretch").asDouble(0),
                    c.path("deadline").asDouble(),
                    c.path("value").asDouble(1),
                    c.path("late-share").asDouble(0),
                    effect(c.path("effect").asText("fragile")),
                    scope(c.path("dedup-scope").asText("cell")),
                    c.path("key-ttl").asDouble(0),
                    c.path("keep-order").asBoolean(false),
                    places(c.get("runs-on"), kindNames),
                    places(c.get("zones-only"), zoneNames),
                    special.path("writes-tables").path(place).asBoolean(false),
                    special.path("yields-to-loads").path(place).asBoolean(false),
                    special.path("threads-by-class").path(place).asInt(1)));
        }
        List<Front.Tenant> tenants = new ArrayList<>();
        root.path("tenants")
                .forEach(t -> tenants.add(new Front.Tenant(t.path("quota-rps").asDouble(0))));
        return new Front.Settings(
                classes,
                kinds,
                Math.max(1, zoneNames.size()),
                root.path("az").asInt(0),
                root.path("peers-total").asInt(1),
                root.path("ordinal").asInt(0),
                limits(root.path("limits"), special),
                rules(root.path("obligations")),
                report(root.path("report")),
                "piggyback".equals(root.path("report").path("how").asText()),
                "subscribe".equals(root.path("discovery").asText()),
                root.path("obligations").path("ask-within").asDouble(0),
                !"silent".equals(root.path("weights").asText("silent")),
                new Front.Prices(
                        root.path("prices").path("probe").asDouble(0),
                        root.path("prices").path("peer").asDouble(0)),
                tenants,
                root.path("over-share-worth").asDouble(1));
    }

    private static Front.Limits limits(JsonNode limits, JsonNode special) {
        Front.WhenShort whenShort = switch (special.path("when-short").asText("wait")) {
            case "shrink" -> Front.WhenShort.SHRINK;
            case "page" -> Front.WhenShort.PAGE;
            default -> Front.WhenShort.WAIT;
        };
        return new Front.Limits(
                limits.path("cancel").asBoolean(false),
                limits.path("probes").asBoolean(false),
                limits.path("second-copies").asBoolean(false),
                limits.path("retry-after").asBoolean(false),
                limits.path("max-retry-after").asDouble(0),
                limits.path("max-attempts").asInt(1),
                special.path("grants").asBoolean(false),
                special.path("lanes-count").asBoolean(false),
                special.path("most-grant").asDouble(1),
                whenShort,
                special.path("tells-every").asDouble(0),
                limits.path("peer-messages").asBoolean(false));
    }

    private static Front.Rules rules(JsonNode rules) {
        return new Front.Rules(
                rules.path("drain-grace").asDouble(0),
                rules.path("cold").asDouble(0),
                rules.path("cold-share").asDouble(1),
                rules.path("overload-factor").asDouble(0),
                rules.path("fall").asDouble(0),
                rules.path("settle-after-doubt").asDouble(0),
                rules.path("extra-window").asDouble(0),
                rules.path("extra-free").asDouble(0),
                rules.path("extra-per-request").asDouble(0));
    }

    private static List<Front.ReportField> report(JsonNode report) {
        List<Front.ReportField> fields = new ArrayList<>();
        for (JsonNode field : report.path("fields")) {
            fields.add(
                    switch (field.asText()) {
                        case "outstanding" -> Front.ReportField.IN_HAND;
                        case "backlog" -> Front.ReportField.WAITING;
                        case "utilization" -> Front.ReportField.UTILISATION;
                        case "recent_ms" -> Front.ReportField.LATENCY;
                        case "throughput" -> Front.ReportField.THROUGHPUT;
                        case "errors_per_s" -> Front.ReportField.ERRORS;
                        case "x0" -> Front.ReportField.MEMORY;
                        case "x1" -> Front.ReportField.DISKS;
                        default -> Front.ReportField.OTHER;
                    });
        }
        return fields;
    }

    private static Front.Effect effect(String word) {
        return switch (word) {
            case "retryable" -> Front.Effect.SAFE;
            case "dedup" -> Front.Effect.KEYED;
            default -> Front.Effect.UNSAFE;
        };
    }

    private static Front.Scope scope(String word) {
        return switch (word) {
            case "all" -> Front.Scope.ALL;
            case "zone" -> Front.Scope.ZONE;
            default -> Front.Scope.CELL;
        };
    }

    private static List<String> names(JsonNode list) {
        List<String> names = new ArrayList<>();
        list.forEach(n -> names.add(n.asText()));
        return names;
    }

    /** Places may be written by name or by number; the wire's page shows names. */
    private static List<Integer> places(JsonNode list, List<String> names) {
        if (list == null || !list.isArray()) {
            return null;
        }
        List<Integer> places = new ArrayList<>();
        list.forEach(n -> places.add(n.isInt() ? n.asInt() : names.indexOf(n.asText())));
        return places;
    }
}
