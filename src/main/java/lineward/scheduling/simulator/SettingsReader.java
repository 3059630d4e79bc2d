package lineward.scheduling.simulator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import lineward.scheduling.DeduplicationScope;
import lineward.scheduling.EngineKind;
import lineward.scheduling.Idempotence;
import lineward.scheduling.LoadReportField;
import lineward.scheduling.MemoryShortageHandling;
import lineward.scheduling.RequestClass;
import lineward.scheduling.SchedulerSettings;

/** Reads the scheduler's settings from JSON; unknown keys are ignored. */
public final class SettingsReader {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final JsonNode root;
    private final JsonNode engineSettings;
    private final JsonNode limits;
    private final JsonNode rules;
    private final List<String> kindNames;
    private final List<String> zoneNames;

    private SettingsReader(JsonNode root) {
        this.root = root;
        this.engineSettings = root.path("specifics");
        this.limits = root.path("limits");
        this.rules = root.path("obligations");
        this.kindNames = names(root.path("skus"));
        this.zoneNames = names(root.path("zones"));
    }

    /**
     * Reads the settings.
     *
     * @param text the settings as JSON
     * @throws InputException if the text is not a JSON object, or a setting is outside its valid range
     */
    public static SchedulerSettings read(String text) {
        try {
            JsonNode root = JSON.readTree(text);
            if (root == null || !root.isObject()) {
                throw new InputException("settings are not a JSON object");
            }
            return new SettingsReader(root).settings();
        } catch (JsonProcessingException e) {
            throw new InputException("settings are not JSON: " + e.getOriginalMessage(), e);
        } catch (IllegalArgumentException e) {
            throw new InputException(e.getMessage(), e);
        }
    }

    private SchedulerSettings settings() {
        return new SchedulerSettings(
                classes(),
                kinds(),
                position(),
                new SchedulerSettings.Limits(capabilities(), attemptLimits(), memoryLimits()),
                rules(),
                loadReporting(),
                discovery(),
                messageCosts(),
                tenantQuotas());
    }

    private List<EngineKind> kinds() {
        List<EngineKind> kinds = new ArrayList<>();
        for (int i = 0; i < Math.max(1, kindNames.size()); i++) {
            int cores = engineSettings.path("cpu-of-kind").path(i).asInt(1);
            double memoryMb = engineSettings.path("ram-of-kind-mb").path(i).asDouble(0);
            kinds.add(new EngineKind(cores, memoryMb));
        }
        return kinds;
    }

    private List<RequestClass> classes() {
        List<RequestClass> classes = new ArrayList<>();
        for (JsonNode node : root.path("classes")) {
            RequestClass.ExecutionProfile profile = executionProfile(classes.size());
            classes.add(new RequestClass(objective(node), repeatability(node), placement(node), profile));
        }
        return classes;
    }

    private static RequestClass.Objective objective(JsonNode node) {
        return new RequestClass.Objective(
                node.path("aim").asDouble(),
                node.path("aim-stretch").asDouble(0),
                node.path("deadline").asDouble(),
                node.path("value").asDouble(1),
                node.path("late-share").asDouble(0));
    }

    private static RequestClass.Repeatability repeatability(JsonNode node) {
        Idempotence idempotence = switch (node.path("effect").asText("fragile")) {
            case "retryable" -> Idempotence.IDEMPOTENT;
            case "dedup" -> Idempotence.BY_KEY;
            default -> Idempotence.NON_IDEMPOTENT;
        };
        DeduplicationScope scope = switch (node.path("dedup-scope").asText("cell")) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            default -> DeduplicationScope.CELL;
        };
        double keyTtlMs = node.path("key-ttl").asDouble(0);
        boolean inOrder = node.path("keep-order").asBoolean(false);
        return new RequestClass.Repeatability(idempotence, scope, keyTtlMs, inOrder);
    }

    private RequestClass.Placement placement(JsonNode node) {
        List<Integer> kinds = indices(node.get("runs-on"), kindNames);
        return new RequestClass.Placement(kinds, indices(node.get("zones-only"), zoneNames));
    }

    private RequestClass.ExecutionProfile executionProfile(int requestClass) {
        boolean loadsTableGroup =
                engineSettings.path("writes-tables").path(requestClass).asBoolean(false);
        boolean waitsForLoads =
                engineSettings.path("yields-to-loads").path(requestClass).asBoolean(false);
        int threads = engineSettings.path("threads-by-class").path(requestClass).asInt(1);
        return new RequestClass.ExecutionProfile(loadsTableGroup, waitsForLoads, threads);
    }

    private SchedulerSettings.FleetPosition position() {
        return new SchedulerSettings.FleetPosition(
                Math.max(1, zoneNames.size()),
                root.path("az").asInt(0),
                root.path("peers-total").asInt(1),
                root.path("ordinal").asInt(0));
    }

    private SchedulerSettings.Capabilities capabilities() {
        return new SchedulerSettings.Capabilities(
                limits.path("cancel").asBoolean(false),
                limits.path("probes").asBoolean(false),
                limits.path("second-copies").asBoolean(false),
                limits.path("retry-after").asBoolean(false),
                engineSettings.path("grants").asBoolean(false),
                engineSettings.path("lanes-count").asBoolean(false),
                limits.path("peer-messages").asBoolean(false));
    }

    private SchedulerSettings.AttemptLimits attemptLimits() {
        int maxPerRequest = limits.path("max-attempts").asInt(1);
        double maxRetryAfterMs = limits.path("max-retry-after").asDouble(0);
        double progressIntervalMs = engineSettings.path("tells-every").asDouble(0);
        return new SchedulerSettings.AttemptLimits(maxPerRequest, maxRetryAfterMs, progressIntervalMs);
    }

    private SchedulerSettings.MemoryLimits memoryLimits() {
        MemoryShortageHandling shortageHandling =
                switch (engineSettings.path("when-short").asText("wait")) {
                    case "shrink" -> MemoryShortageHandling.SHRINK;
                    case "page" -> MemoryShortageHandling.PAGE;
                    default -> MemoryShortageHandling.WAIT;
                };
        return new SchedulerSettings.MemoryLimits(
                engineSettings.path("most-grant").asDouble(1), shortageHandling);
    }

    private SchedulerSettings.Rules rules() {
        SchedulerSettings.SlowStartRule slowStart = new SchedulerSettings.SlowStartRule(
                rules.path("cold").asDouble(0),
                rules.path("cold-share").asDouble(1),
                rules.path("overload-factor").asDouble(0),
                rules.path("fall").asDouble(0));
        SchedulerSettings.RetryBudget retryBudget = new SchedulerSettings.RetryBudget(
                rules.path("extra-window").asDouble(0),
                rules.path("extra-free").asDouble(0),
                rules.path("extra-per-request").asDouble(0));
        double drainGraceMs = rules.path("drain-grace").asDouble(0);
        double settleMs = rules.path("settle-after-doubt").asDouble(0);
        return new SchedulerSettings.Rules(drainGraceMs, slowStart, settleMs, retryBudget);
    }

    private SchedulerSettings.LoadReporting loadReporting() {
        List<LoadReportField> fields = new ArrayList<>();
        root.path("report").path("fields").forEach(field -> fields.add(reportField(field.asText())));
        boolean inResponses = "piggyback".equals(root.path("report").path("how").asText());
        return new SchedulerSettings.LoadReporting(fields, inResponses);
    }

    private static LoadReportField reportField(String text) {
        return switch (text) {
            case "outstanding" -> LoadReportField.IN_FLIGHT;
            case "backlog" -> LoadReportField.QUEUED;
            case "utilization" -> LoadReportField.UTILISATION;
            case "recent_ms" -> LoadReportField.LATENCY;
            case "throughput" -> LoadReportField.THROUGHPUT;
            case "errors_per_s" -> LoadReportField.ERRORS;
            case "x0" -> LoadReportField.MEMORY;
            case "x1" -> LoadReportField.DISKS;
            default -> LoadReportField.OTHER;
        };
    }

    private SchedulerSettings.Discovery discovery() {
        boolean requiresSubscription = "subscribe".equals(root.path("discovery").asText());
        double maxPollIntervalMs = rules.path("ask-within").asDouble(0);
        boolean hasWeights = !"silent".equals(root.path("weights").asText("silent"));
        return new SchedulerSettings.Discovery(requiresSubscription, maxPollIntervalMs, hasWeights);
    }

    private SchedulerSettings.MessageCosts messageCosts() {
        JsonNode prices = root.path("prices");
        return new SchedulerSettings.MessageCosts(
                prices.path("probe").asDouble(0), prices.path("peer").asDouble(0));
    }

    private SchedulerSettings.TenantQuotas tenantQuotas() {
        List<Double> perTenant = new ArrayList<>();
        root.path("tenants")
                .forEach(tenant -> perTenant.add(tenant.path("quota-rps").asDouble(0)));
        return new SchedulerSettings.TenantQuotas(
                perTenant, root.path("over-share-worth").asDouble(1));
    }

    private static List<String> names(JsonNode list) {
        List<String> names = new ArrayList<>();
        list.forEach(name -> names.add(name.asText()));
        return names;
    }

    /**
     * Returns the indices of the entries of a list, each of which is a name or an index; null if there is no
     * list.
     */
    private static List<Integer> indices(JsonNode list, List<String> names) {
        if (list == null || !list.isArray()) {
            return null;
        }
        List<Integer> indices = new ArrayList<>();
        list.forEach(entry -> indices.add(entry.isInt() ? entry.asInt() : names.indexOf(entry.asText())));
        return indices;
    }
}
