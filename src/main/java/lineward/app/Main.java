package lineward.app;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.jline.utils.Signals;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The command line; {@code --help} tells its commands. Bad use ends with status 2. */
@Command(
        name = "lineward",
        mixinStandardHelpOptions = true,
        version = "lineward 0.1.0",
        description = "A front end for query engines.",
        subcommands = {Main.Serve.class, Main.Mysql.class, Main.Adapter.class, Main.Rehearse.class, SpoolCommand.class})
public final class Main implements Runnable {
    private static final Path MYSQL_FILE = Path.of("deploy", "mysql.toml");
    private static final int BAD_USE = 2;

    @Spec
    private CommandSpec spec;

    private Main() {}

    /** @param args a command and its arguments */
    public static void main(String[] args) {
        int status = isPlatforms(args) ? platform(args) : commandLine().execute(args);
        if (status != RUNS) {
            System.exit(status);
        }
    }

    /**
     * The platform starts front ends under load, on a part of a core, where the parser costs time and 9 MB:
     * its own commands, which have no options, are spared it.
     */
    private static boolean isPlatforms(String[] args) {
        return args.length == 1 && args[0].equals("serve") || args.length == 2 && args[0].equals("rehearse");
    }

    private static int platform(String[] args) {
        try {
            start(true, args.length == 1 ? System.getenv("RELAY_CONFIG") : args[1], MYSQL_FILE, false);
            return args.length == 1 ? RUNS : 0;
        } catch (RuntimeException e) {
            return failed(e);
        }
    }

    private static CommandLine commandLine() {
        return new CommandLine(new Main())
                .setExecutionExceptionHandler((e, line, parsed) -> failed(e))
                .setParameterExceptionHandler((e, words) -> {
                    System.err.println("lineward: "
                            + e.getMessage().lines().findFirst().orElse("bad use") + "; --help tells the usage");
                    return BAD_USE;
                });
    }

    private static int failed(Exception e) {
        if (e instanceof ConfigException) {
            System.err.println("lineward: " + e.getMessage());
            return BAD_USE;
        }
        // The event loop would keep a process alive that serves nobody.
        e.printStackTrace();
        return 1;
    }

    /** What a command returns whose fronts go on in threads of their own. */
    static final int RUNS = -1;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is missing");
    }

    @Command(
            name = "serve",
            description = "Runs a front end for the platform; RELAY_CONFIG names its"
                    + " configuration. The MySQL front runs with it where its file says so.")
    static final class Serve implements Callable<Integer> {
        @Parameters(index = "0", arity = "0..1", paramLabel = "MYSQL-FILE")
        private Path mysql;

        @Override
        public Integer call() {
            start(true, System.getenv("RELAY_CONFIG"), mysql == null ? MYSQL_FILE : mysql, mysql != null);
            return RUNS;
        }
    }

    @Command(name = "mysql", description = "Runs the MySQL front alone.")
    static final class Mysql implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "MYSQL-FILE")
        private Path mysql;

        @Override
        public Integer call() {
            start(false, null, mysql, true);
            return RUNS;
        }
    }

    @Command(name = "adapter", description = "Speaks the simulator's wire on standard input and output.")
    static final class Adapter implements Callable<Integer> {
        @Override
        public Integer call() {
            lineward.scheduling.simulator.Main.main(new String[] {"adapter"});
            return 0;
        }
    }

    @Command(
            name = "rehearse",
            description = "Starts as a front end with that configuration and ends at once,"
                    + " so that the build can keep the classes of a start in an archive.")
    static final class Rehearse implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "CONFIG")
        private String config;

        @Override
        public Integer call() {
            start(true, config, MYSQL_FILE, false);
            return 0;
        }
    }

    private static void start(boolean platform, String path, Path mysql, boolean required) {
        FrontEnd frontEnd = new FrontEnd();
        if (platform) {
            // Danger: without a handler the virtual machine ends on SIGHUP; it may come amid the start.
            Signals.register("HUP", frontEnd::hangUp);
            frontEnd.addPlatform(Config.read(path), path);
        }
        if (required || Files.exists(mysql)) {
            frontEnd.addMysql(new MysqlFile(mysql));
        }
        frontEnd.run();
    }
}
