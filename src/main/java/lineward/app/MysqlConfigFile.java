package lineward.app;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import lineward.mysql.MysqlConfig;

/**
 * The TOML file that configures the server for MySQL clients. Its list of engines is reloaded when the file
 * changes.
 */
final class MysqlConfigFile {
    private static final String SCHEMA = "mysql.schema.json";

    private final Path path;
    /** Modification time of the file at the last read; null before the first read. */
    private FileTime readAt;

    /** Creates a reader of the file, which need not exist before it is read. */
    MysqlConfigFile(Path path) {
        this.path = path;
    }

    /** Returns whether the file has changed since it was last read. */
    boolean hasChanged() {
        try {
            return !Files.getLastModifiedTime(path).equals(readAt);
        } catch (IOException e) {
            // An editor may be replacing the file; the last configuration stays in use meanwhile.
            return false;
        }
    }

    /**
     * Reads the current content of the file.
     *
     * @throws ConfigException with a message of one line if the file can't be used
     */
    MysqlConfig read() {
        ConfigNode root = ConfigNode.root(path.toString(), parse());
        ConfigSchema.check(SCHEMA, root);
        return MysqlConfigReader.read(root);
    }

    private JsonNode parse() {
        try {
            readAt = Files.getLastModifiedTime(path);
            return new TomlMapper().readTree(Files.readString(path));
        } catch (JsonProcessingException e) {
            JsonLocation location = e.getLocation();
            String lineNumber = location == null ? "?" : Integer.toString(location.getLineNr());
            throw ConfigException.unusable(path + " is not TOML: line " + lineNumber, e);
        } catch (IOException e) {
            throw ConfigException.unusable(path + " can't be read", e);
        }
    }
}
