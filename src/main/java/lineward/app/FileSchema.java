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

/** Checks a configuration file against its schema; the library is loaded only where a file says something. */
final class FileSchema {
    private FileSchema() {}

    /** @throws IllegalArgumentException with one plain line that names the first key at fault */
    static void check(String schema, JsonNode root) {
        if (root.isEmpty()) {
            return;
        }
        try (InputStream in = FileSchema.class.getResourceAsStream(schema)) {
            JsonSchema rules = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                    .getSchema(in);
            rules.validate(root).stream()
                    .min(Comparator.comparing(ValidationMessage::getMessage))
                    .ifPresent(message -> {
                        throw new IllegalArgumentException(message.getMessage());
                    });
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
