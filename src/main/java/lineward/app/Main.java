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

/** The command line; {@code --help} lists its commands. Usage and configuration errors end with status 2. */
@Command(
        name = "lineward",
        mixinStandardHelpOptions = true,
        version = "lineward 0.1.0",
        description = "A front end for query engines.",
        subcommands = {
            Main.Serve.class,
            Main.Mysql.class,
            Main.Adapter.class,
            Main.Rehearse.class,
            // Declares its own subcommands (ls, verify, drop) as methods.
            SpoolCommand.class
        })
public final class Main implements Runnable {
    private static final String SERVE = "serve";
    private static final String REHEARSE = "rehearse";
    private static final String CONFIG_VARIABLE = "RELAY_CONFIG";
    private static final Path DEFAULT_MYSQL_FILE = Path.of("deploy", "mysql.toml");

    private static final int STATUS_OK = 0;
    private static final int STATUS_FAILED = 1;
    private static final int STATUS_USAGE = 2;
    /** Returned instead of an exit status by commands whose front end keeps running on its own threads. */
    private static final int STILL_RUNNING = -1;

    @Spec
    private CommandSpec spec;

    private Main() {}

    /**
     * Runs one command.
     *
     * @param args a command and its arguments
     */
    public static void main(String[] args) {
        int status = isPlatformCommand(args)
                ? runPlatformCommand(args)
                : commandLine().execute(args);
        if (status != STILL_RUNNING) {
            System.exit(status);
        }
    }

    /**
     * Returns whether this is one of the commands that the platform runs. They have no options and bypass
     * picocli, which costs 9 MB and makes the start slower if the process has only a fraction of a core.
     */
    private static boolean isPlatformCommand(String[] args) {
        return switch (args.length) {
            case 1 -> args[0].equals(SERVE);
            case 2 -> args[0].equals(REHEARSE);
            default -> false;
        };
    }

    private static int runPlatformCommand(String[] args) {
        try {
            boolean isRehearsal = args.length == 2;
            String config = isRehearsal ? args[1] : System.getenv(CONFIG_VARIABLE);
            startPlatform(config, DEFAULT_MYSQL_FILE, false);
            return isRehearsal ? STATUS_OK : STILL_RUNNING;
        } catch (RuntimeException e) {
            return reportFailure(e);
        }
    }

    private static CommandLine commandLine() {
        return new CommandLine(new Main())
                .setExecutionExceptionHandler((e, line, parsed) -> reportFailure(e))
                .setParameterExceptionHandler((e, args) -> {
                    String reason = e.getMessage().lines().findFirst().orElse("invalid usage");
                    System.err.println("lineward: " + reason + "; see --help for usage");
                    return STATUS_USAGE;
                });
    }

    /** Prints the error and returns the exit status. */
    private static int reportFailure(Exception e) {
        if (e instanceof ConfigException) {
            System.err.println("lineward: " + e.getMessage());
            return STATUS_USAGE;
        }
        // The caller must exit with this status: the event loop would keep the process running.
        e.printStackTrace();
        return STATUS_FAILED;
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "missing command");
    }

    @Command(
            name = SERVE,
            description = "Runs a front end for the platform; RELAY_CONFIG names its configuration"
                    + " file. Also serves MySQL clients if the MySQL file has a listen address.")
    static final class Serve implements Callable<Integer> {
        @Parameters(index = "0", arity = "0..1", paramLabel = "MYSQL-FILE")
        private Path mysqlFile;

        @Override
        public Integer call() {
            boolean isNamed = mysqlFile != null;
            startPlatform(System.getenv(CONFIG_VARIABLE), isNamed ? mysqlFile : DEFAULT_MYSQL_FILE, isNamed);
            return STILL_RUNNING;
        }
    }

    @Command(name = "mysql", description = "Runs a front end for MySQL clients only.")
    static final class Mysql implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "MYSQL-FILE")
        private Path mysqlFile;

        @Override
        public Integer call() {
            FrontEnd frontEnd = new FrontEnd();
            frontEnd.addMysqlServer(new MysqlConfigFile(mysqlFile));
            frontEnd.run();
            return STILL_RUNNING;
        }
    }

    @Command(name = "adapter", description = "Speaks the simulator's protocol on standard input and output.")
    static final class Adapter implements Callable<Integer> {
        @Override
        public Integer call() {
            lineward.scheduling.simulator.Main.main(new String[] {"adapter"});
            return STATUS_OK;
        }
    }

    @Command(
            name = REHEARSE,
            description = "Starts a front end with the given configuration and exits at once,"
                    + " so that the build can archive the classes that a start loads.")
    static final class Rehearse implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "CONFIG")
        private String config;

        @Override
        public Integer call() {
            startPlatform(config, DEFAULT_MYSQL_FILE, false);
            return STATUS_OK;
        }
    }

    private static void startPlatform(String config, Path mysqlFile, boolean isMysqlRequired) {
        FrontEnd frontEnd = new FrontEnd();
        // Registered first: SIGHUP may arrive during the start, and without a handler it ends the process.
        Signals.register("HUP", frontEnd::reload);
        frontEnd.addPlatformServer(new PlatformConfigFile(config));
        if (isMysqlRequired || Files.exists(mysqlFile)) {
            frontEnd.addMysqlServer(new MysqlConfigFile(mysqlFile));
        }
        frontEnd.run();
    }
}
