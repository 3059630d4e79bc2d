package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import lineward.Program;
import lineward.operations.AdminClient;
import lineward.thrift.StandInLines.Mode;
import org.testng.annotations.Test;

/** The figures agree with what the clients and engines saw. */
public class FiguresTest {
    private static final String ENDS = "edge_relay_operations_total{priority=\"look\",status=";

    static Map<String, Integer> figures(Program program) throws IOException {
        AdminClient.Answer answer = new AdminClient(program).get("/ops/stats");
        assertEquals(answer.status(), 200);
        Map<String, Integer> all = new TreeMap<>();
        answer.body()
                .lines()
                .filter(line -> !line.startsWith("#"))
                .forEach(line -> all.put(
                        line.substring(0, line.lastIndexOf(' ')),
                        Integer.valueOf(line.substring(line.lastIndexOf(' ') + 1))));
        return all;
    }

    @Test
    public void theyAgreeWithWhatThePeersSaw() throws IOException {
        try (Platform platform = new Platform(Map.of());
                StandInCaller caller = platform.caller()) {
            int[] answers = new int[3];
            Mode[] modes = {Mode.SERVE, Mode.FAULT, Mode.SHED, Mode.RESET, Mode.SERVE};
            for (int i = 0; i < 100; i++) {
                platform.one.mode = modes[i / 20];
                answers[
                        caller.call(StandInCaller.fields(i % 10 == 0 ? 30 : 2000), "select 1")
                                .field()]++;
            }
            Map<String, String> unusable = StandInCaller.fields(1000);
            unusable.put("org", "nobody");
            caller.call(unusable, "select 1");
            Map<String, Integer> seen = figures(platform.program);
            assertEquals((int) seen.get(ENDS + "\"fulfilled\"}"), answers[0]);
            assertEquals((int) seen.get(ENDS + "\"throttled\"}"), answers[1]);
            assertEquals((int) seen.get(ENDS + "\"faulted\"}"), answers[2] + 1);
            assertTrue(answers[0] > 50 && answers[1] >= 10, "both kinds were there");
            long wants = platform.one.count("want") + platform.two.count("want");
            assertTrue(wants > answers[0], "some were attempted again");
            assertEquals((int) seen.get("edge_relay_relayed_total"), wants);
            assertEquals((int) seen.get("edge_relay_open_requests"), 0);
            assertEquals((int) seen.get("edge_relay_registry_entries"), 2);
            assertTrue(seen.get("edge_relay_list_age_ms") < 2000);
        }
    }

    @Test
    public void whatIsOpenAndWhoIsAvoidedShows() throws IOException {
        try (Platform platform = new Platform(Map.of());
                StandInCaller caller = platform.caller()) {
            platform.both(Mode.SILENT);
            for (int i = 0; i < 3; i++) {
                caller.send(StandInCaller.fields(2000), "select 1");
            }
            Program.await("they run", () -> platform.one.count("want") + platform.two.count("want") == 3);
            assertEquals((int) figures(platform.program).get("edge_relay_open_requests"), 3);
            platform.one.close();
            platform.two.mode = Mode.SERVE;
            Program.await("a dead engine is avoided", () -> {
                try {
                    caller.call(StandInCaller.fields(2000), "select 1");
                    return figures(platform.program).get("edge_relay_out_of_rotation") == 1;
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            platform.journal.tell(false, "s-1", "" + platform.one.port(), "gone");
            Program.await("it has left the list", () -> {
                try {
                    Map<String, Integer> seen = figures(platform.program);
                    int outOfRotation = seen.get("edge_relay_out_of_rotation");
                    return seen.get("edge_relay_registry_entries") == 1 && outOfRotation == 0;
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
        }
    }
}
