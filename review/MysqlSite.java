import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A front end with MySQL clients too: six engines, two classes, the other settings at their defaults. */
final class MysqlSite implements AutoCloseable {
    final List<MysqlEngine> engines = new ArrayList<>();
    final int port = FrontEnd.freePort();
    final FrontEnd frontEnd;
    private final Path file;

    MysqlSite(Path root) throws Exception {
        StringBuilder text = new StringBuilder("listen = \"127.0.0.1:" + port + "\"\n");
        text.append("[[user]]\nname = \"office\"\npassword = \"little-steps\"\n");
        for (int i = 1; i <= 6; i++) {
            MysqlEngine engine = new MysqlEngine("db-" + i);
            engines.add(engine);
            text.append("[[engine]]\nname = \"db-" + i + "\"\naddress = \"127.0.0.1:" + engine.port()
                    + "\"\nuser = \"lineward\"\npassword = \"secret\"\ncores = 8\n");
        }
        text.append("[[class]]\nname = \"report\"\nmatch = \"report\"\naim-ms = 3000\ndeadline-ms = 15000\n"
                + "worth = 12\nthreads = 3\n[[class]]\nname = \"look-up\"\naim-ms = 500\ndeadline-ms = 2500\n");
        file = Files.createTempFile("review", ".toml");
        Files.writeString(file, text);
        Journal journal = new Journal();
        Engine engine = new Engine("s-1");
        journal.publish(true, List.of(Journal.instance("s-1", engine.port(), "floor-1", "std-8core", "ready")));
        frontEnd = new FrontEnd(
                root, Site.SETTINGS, journal.after(0), journal.port(), 192, 1024, " " + file);
        frontEnd.awaitReady();
    }

    MysqlClient client() throws Exception {
        return new MysqlClient(port, "office", "little-steps");
    }

    @Override
    public void close() throws Exception {
        frontEnd.close();
        Files.deleteIfExists(file);
    }
}
