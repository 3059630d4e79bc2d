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

/** The journal's answers: the whole list, changes, and what can't be used. */
public class EngineListTest {
    private static final String ONE = "{'instanceId':'s-1','hostPort':'127.0.0.1:9','zone':'b','machineType':"
            + "'std','cell':2,'lifecycle':'ready','weight':4,'startedAtMs':7}";
    private final List<String> seen = new ArrayList<>();
    private final EndpointList list = new EndpointList(List.of("std"), List.of("a", "b"), (whole, entries) -> {
        for (EngineEndpoint e : entries) {
            seen.add(whole + " " + e.id() + " " + e.zone() + " " + e.state() + " " + e.startedAtMs());
        }
    });

    private static JsonNode json(String text) throws JsonProcessingException {
        return new ObjectMapper().readTree(text.replace('\'', '"'));
    }

    private static String answer(long pos, boolean reset, String instance) {
        return "{'pos':" + pos + ",'entries':[{'pos':" + pos + ",'hosts':{'generation':1,'reset':" + reset
                + ",'instances':[" + instance + "]}}]}";
    }

    @Test
    public void changesAreMergedAndEventsCountOnce() throws JsonProcessingException {
        list.apply(json(answer(1, true, ONE)));
        list.apply(json(answer(1, true, ONE)));
        list.apply(json(answer(2, false, "{'instanceId':'s-1','lifecycle':'draining'}")));
        assertEquals(list.position(), 2);
        assertEquals(seen, List.of("true s-1 1 READY 7.0", "false s-1 1 DRAINING 7.0"));
    }

    @DataProvider
    public Object[][] unusable() {
        return new Object[][] {
            {"{}"},
            {"{'pos':1}"},
            {"{'pos':'x','entries':[]}"},
            {"{'pos':1,'entries':[{}]}"},
            {answer(9, true, "{}")},
            {answer(9, true, "5")},
            {answer(9, true, ONE.replace("127.0.0.1:9", "nowhere"))},
            {answer(9, true, ONE.replace("ready", "asleep"))}
        };
    }

    @Test(dataProvider = "unusable")
    public void whatCannotBeUsedLeavesTheListAsItWas(String answer) throws JsonProcessingException {
        long before = list.position();
        JsonNode read = json(answer);
        assertThrows(IllegalArgumentException.class, () -> list.apply(read));
        assertEquals(list.position(), before);
    }
}
