package lineward.thrift;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import lineward.Program;
import lineward.SocketHolder;

/** The program on a small platform: two engines, a journal, a configuration. */
public final class Platform implements AutoCloseable {
    private static final String SETTINGS = """
            {"az":0,"classes":[{"name":"look","aim":500,"aim-stretch":2,"deadline":2500,"value":1,
             "effect":"retryable","dedup-scope":"all","late-share":0.1}],"peers-total":2,"ordinal":0,
             "limits":{"cancel":true,"max-attempts":6,"retry-after":true,"max-retry-after":2000,
             "connect-timeout":250,"conn-idle":30000,"streams-per-conn":100},
             "obligations":{"drain-grace":1000,"cold":15000,"cold-share":0.34,"overload-factor":2.5,
             "fall":1500},
             "specifics":{"cpu-of-kind":[8],"ram-of-kind-mb":[16384],"grants":true,"lanes-count":true,
             "threads-by-class":[1]},"skus":["std"],"zones":["east"],
             "tenants":[{"name":"west","quota-rps":50}]}""";

    final StandInJournal journal = new StandInJournal();
    final StandInLines one = new StandInLines();
    final StandInLines two = new StandInLines();
    final Program program;
    private final SocketHolder holder;
    private final int sockets;
    private final String settings;
    final Path shared = Files.createTempDirectory("shared");
    private final Path config = shared.resolve("config.json");

    public Platform(Map<String, String> environment) throws IOException {
        this(environment, null);
    }

    /** @param holder holds the clients' socket; null: the program binds one itself */
    public Platform(Map<String, String> environment, SocketHolder holder) throws IOException {
        this(environment, holder, 2, 2, 1024);
    }

    /** @param change of the settings */
    Platform(UnaryOperator<String> change) throws IOException {
        this(Map.of(), null, 2, 2, 1024, change);
    }

    Platform(Map<String, String> environment, SocketHolder holder, int fronts, int engines, int sockets)
            throws IOException {
        this(environment, holder, fronts, engines, sockets, text -> text);
    }

    /** @param engines on the list: s-1, s-2 and so on, by turns the one stand-in and the other */
    private Platform(
            Map<String, String> environment,
            SocketHolder holder,
            int fronts,
            int engines,
            int sockets,
            UnaryOperator<String> change)
            throws IOException {
        this.holder = holder;
        this.sockets = sockets;
        this.settings = change.apply(SETTINGS.replace("\"peers-total\":2", "\"peers-total\":" + fronts));
        journal.tell(true, engines(1, engines, "ready"));
        configure(journal);
        Map<String, String> all = new HashMap<>(environment);
        all.put("RELAY_CONFIG", config.toString());
        all.put("TMPDIR", shared.toString());
        program = holder == null ? new Program(all, "serve") : again();
        program.port();
    }

    /** Returns the journal's words on engines that they all are in that state. */
    String[] engines(int first, int last, String state) {
        return IntStream.rangeClosed(first, last)
                .boxed()
                .flatMap(i -> Stream.of("s-" + i, "" + (i % 2 == 1 ? one : two).port(), state))
                .toArray(String[]::new);
    }

    /** Starts the program anew on the same socket. */
    Program again() throws IOException {
        return new Program(holder, "RELAY_CONFIG=" + config + ";TMPDIR=" + shared);
    }

    /** Settings in which connections to engines may take so long to come up. */
    static String patient(String settings) {
        return settings.replace("\"connect-timeout\":250", "\"connect-timeout\":8000")
                .replace("\"deadline\":2500", "\"deadline\":20000")
                .replace("\"aim\":500", "\"aim\":15000");
    }

    /** Settings with a class "load" beside, which must not run twice. */
    static String unsafe(String settings) {
        return settings.replace(
                        "\"classes\":[",
                        "\"classes\":[{\"name\":\"load\",\"aim\":2000,"
                                + "\"aim-stretch\":2,\"deadline\":4000,\"value\":3,\"effect\":\"fragile\","
                                + "\"late-share\":0.5},")
                .replace("\"threads-by-class\":[1]", "\"threads-by-class\":[1,1]");
    }

    /** Returns requests that have come to the two engines. */
    long wants() {
        return one.count("want") + two.count("want");
    }

    /** Tells the state of both engines, and waits until the program has heard. */
    void tellBoth(String state) {
        journal.tell(false, engines(1, 2, state));
        awaitTold();
    }

    /** From now on this engine stands on the list alone. */
    void tellOnly(String id, StandInLines engine) {
        journal.tell(true, id, "" + engine.port(), "ready");
        awaitTold();
    }

    /** Waits until the program has taken in all that the journal has told. */
    void awaitTold() {
        Program.await("the program is told", () -> journal.told() == journal.last());
    }

    /** Starts a second program by the configuration as it stands. */
    Program another() throws IOException {
        return new Program(Map.of("RELAY_CONFIG", config.toString()), "serve");
    }

    /** Writes the configuration, which names this journal. */
    void configure(StandInJournal service) throws IOException {
        configure("{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"seed\":\"1f\",\"limits\":"
                + "{\"sockets\":" + sockets + "},\"journal\":\"" + service.address()
                + "\",\"management\":\"127.0.0.1:0\",\"known\":" + service.after(0)
                + ",\"settings\":" + settings + "}");
    }

    void configure(String text) throws IOException {
        Files.writeString(config, text);
    }

    /** Sets what both engines do. */
    void both(StandInLines.Mode mode) {
        one.mode = mode;
        two.mode = mode;
    }

    StandInCaller caller() throws IOException {
        return new StandInCaller(holder == null ? program.port() : holder.port());
    }

    /** Has some requests served, and one refused. */
    public void exercise(int served) throws IOException {
        try (StandInCaller caller = caller()) {
            for (int i = 0; i < served; i++) {
                caller.call(StandInCaller.fields(2000), "select 1");
            }
            caller.call(StandInCaller.fields(20), "select 1");
        }
    }

    public Program program() {
        return program;
    }

    @Override
    public void close() throws IOException {
        program.close();
        one.close();
        two.close();
        journal.close();
        try (Stream<Path> files = Files.list(shared)) {
            files.forEach(file -> file.toFile().delete());
        }
        Files.deleteIfExists(shared);
    }
}
