package lineward.testing;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/** Reads the metrics that a program exports at its admin endpoint. */
public final class ProgramMetrics {
    /** Label value of served requests. */
    public static final String SERVED = "fulfilled";
    /** Label value of rejected requests. */
    public static final String REJECTED = "throttled";
    /** Label value of failed requests. */
    public static final String FAILED = "faulted";

    private ProgramMetrics() {}

    /** Returns the values of all metrics, by name and labels. */
    public static Map<String, Integer> read(Program program) throws IOException {
        AdminClient.Response response = new AdminClient(program).get("/ops/stats");
        assertEquals(response.status(), 200);
        Map<String, Integer> values = new TreeMap<>();
        response.body()
                .lines()
                .filter(line -> !line.startsWith("#"))
                .forEach(line -> values.put(
                        line.substring(0, line.lastIndexOf(' ')),
                        Integer.valueOf(line.substring(line.lastIndexOf(' ') + 1))));
        return values;
    }

    /** Returns the value of one metric; fails the test if the program can't be reached. */
    public static int value(Program program, String name) {
        try {
            return read(program).get(name);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
