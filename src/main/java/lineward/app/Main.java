package lineward.app;

import java.util.Arrays;

/** The command line: {@code serve} runs a front end, {@code adapter} speaks the simulator's wire. */
public final class Main {
    private static final int BAD_USE = 2;

    private Main() { }

    /** @param args one word */
    public static void main(String[] args) {
        if (Arrays.equals(args, new String[] {"adapter"})) {
            peatwick.adapter.Main.main(args);
        } else if (Arrays.equals(args, new String[] {"serve"})) {
            serve();
        } else {
            stop("usage: java -jar lineward.jar serve | adapter");
        }
    }

    private static void serve() {
        try {
            new FrontEnd(Config.read(System.getenv("RELAY_CONFIG"))).run();
        } catch (ConfigException e) {
            stop("lineward: " + e.getMessage());
        }
    }

    private static void stop(String line) {
        System.err.println(line);
        System.exit(BAD_USE);
    }
}
