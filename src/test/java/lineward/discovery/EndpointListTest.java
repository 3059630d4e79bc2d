package lineward.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import lineward.core.EngineEndpoint;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests full snapshots, incremental updates and malformed responses of service discovery. */
public class EndpointListTest {
    private static final String ENTRY = "{'instanceId':'s-1','hostPort':'127.0.0.1:9','zone':'b',"
            + "'machineType':'std','cell':2,'lifecycle':'ready','weight':4,'startedAtMs':7}";
    private final List<String> changes = new ArrayList<>();
    private final EndpointList list = new EndpointList(List.of("std"), List.of("a", "b"), this::record);

    private void record(boolean fullSnapshot, List<EngineEndpoint> endpoints) {
        for (EngineEndpoint endpoint : endpoints) {
            changes.add(describe(fullSnapshot, endpoint));
        }
    }

    private static String describe(boolean fullSnapshot, EngineEndpoint endpoint) {
        String state = endpoint.state() + " " + endpoint.startedAtMs();
        return fullSnapshot + " " + endpoint.id() + " " + endpoint.zone() + " " + state;
    }

    private static JsonNode parseJson(String text) throws JsonProcessingException {
        return new ObjectMapper().readTree(text.replace('\'', '"'));
    }

    private static String response(long number, boolean fullSnapshot, String entry) {
        String update = "{'generation':1,'reset':" + fullSnapshot + ",'instances':[" + entry + "]}";
        return "{'pos':" + number + ",'entries':[{'pos':" + number + ",'hosts':" + update + "}]}";
    }

    @Test
    public void incrementalUpdatesAreMergedAndEachEventIsAppliedOnce() throws JsonProcessingException {
        list.apply(parseJson(response(1, true, ENTRY)));
        list.apply(parseJson(response(1, true, ENTRY)));
        list.apply(parseJson(response(2, false, "{'instanceId':'s-1','lifecycle':'draining'}")));
        assertEquals(list.lastEventNumber(), 2);
        assertEquals(changes, List.of("true s-1 1 READY 7.0", "false s-1 1 DRAINING 7.0"));
    }

    @DataProvider
    public Object[][] malformed() {
        return new Object[][] {
            {"{}"},
            {"{'pos':1}"},
            {"{'pos':'x','entries':[]}"},
            {"{'pos':1,'entries':[{}]}"},
            {response(9, true, "{}")},
            {response(9, true, "5")},
            {response(9, true, ENTRY.replace("127.0.0.1:9", "nowhere"))},
            {response(9, true, ENTRY.replace("ready", "asleep"))}
        };
    }

    @Test(dataProvider = "malformed")
    public void aMalformedResponseLeavesTheListUnchanged(String text) throws JsonProcessingException {
        long previousEventNumber = list.lastEventNumber();
        JsonNode response = parseJson(text);
        assertThrows(DiscoveryFormatException.class, () -> list.apply(response));
        assertEquals(list.lastEventNumber(), previousEventNumber);
    }
}
