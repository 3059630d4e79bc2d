package lineward.app;

import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Comparator;

/**
 * Checks a configuration file against its schema. An empty file passes without loading the schema library.
 */
final class ConfigSchema {
    private static final String PASSWORD_KEY = "password";

    private ConfigSchema() {}

    /**
     * Checks the whole file.
     *
     * @param schema name of the schema, a resource of this package
     * @throws ConfigException for one of the violations, if there are any
     */
    static void check(String schema, ConfigNode root) {
        if (root.value().isEmpty()) {
            return;
        }
        try (InputStream in = ConfigSchema.class.getResourceAsStream(schema)) {
            JsonSchema jsonSchema = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                    .getSchema(in);
            jsonSchema.validate(root.value()).stream()
                    .min(Comparator.comparing(ValidationMessage::getMessage))
                    .ifPresent(violation -> {
                        throw invalid(root.file(), violation);
                    });
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static ConfigException invalid(String file, ValidationMessage violation) {
        String key = violation.getInstanceLocation().toString();
        String message = violation.getMessage();
        String prefix = key + ": ";
        String rule = message.startsWith(prefix) ? message.substring(prefix.length()) : message;
        String reason = "violates the schema of the file";
        return ConfigException.invalid(file, key, reason, describe(key, violation.getInstanceNode()), rule);
    }

    /** Returns a value as messages show it; passwords, lists and tables are left out. */
    private static String describe(String key, JsonNode found) {
        if (found == null || found.isContainerNode() || key.endsWith(PASSWORD_KEY)) {
            return "a value not shown";
        }
        return found.toString();
    }
}
