import java.nio.file.Path;

/** Runs the body of a check; a check that can't run ends with 2. */
final class Case {
    /** The check itself. */
    interface Body {
        /** Returns the exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
        int run(Path root, boolean trouble) throws Exception;
    }

    private Case() {}

    /** @param args the root of the repository, and the file of the record */
    static void main(String[] args, Body body) {
        int status = 2;
        try {
            Record.open(Path.of(args[1]));
            status = body.run(Path.of(args[0]), !"0".equals(System.getenv("TROUBLE")));
        } catch (Exception | LinkageError e) {
            e.printStackTrace();
            Record.say("the case could not run: " + e);
        }
        Record.say("exit status " + status);
        System.exit(status);
    }
}
