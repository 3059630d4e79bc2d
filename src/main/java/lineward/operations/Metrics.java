package lineward.operations;

import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import lineward.core.Coordinator;
import lineward.frontend.ProtocolServer;
import lineward.spool.SpoolPolicy;

/** What this process has done since its start, in the text format of Prometheus. */
public final class Metrics {
    /** How a request ended. */
    public enum Ending {
        FULFILLED,
        THROTTLED,
        FAULTED
    }

    private static final String PREFIX = "edge_relay_";
    private final Map<String, Map<Ending, Long>> ended = new TreeMap<>();
    private long relayed;
    private LongSupplier listAge;
    private LongSupplier unread;
    private Supplier<SpoolPolicy.Figures> spool;

    /** The classes whose figures are there from the start, at 0. */
    public void announce(Collection<String> classes) {
        for (String type : classes) {
            Map<Ending, Long> row = ended.computeIfAbsent(type, t -> new EnumMap<>(Ending.class));
            List.of(Ending.values()).forEach(end -> row.putIfAbsent(end, 0L));
        }
    }

    /** A request of that class has ended; a class never announced is passed over. */
    public void ended(String type, Ending end) {
        Map<Ending, Long> row = ended.get(type);
        if (row != null) {
            row.merge(end, 1L, Long::sum);
        }
    }

    /** An attempt has been written whole to an engine. */
    public void relayed() {
        relayed++;
    }

    /** @param ageMs tells how long ago the list of engines was last heard of */
    public void listAge(LongSupplier ageMs) {
        listAge = ageMs;
    }

    /** @param bytes tells how many bytes of answers clients have not taken yet */
    public void unread(LongSupplier bytes) {
        unread = bytes;
    }

    /** @param now tells what the spool holds */
    public void spool(Supplier<SpoolPolicy.Figures> now) {
        spool = now;
    }

    /** Returns all figures; what the fronts hold now is asked of them. */
    public String text(Collection<ProtocolServer> doors) {
        StringBuilder text = new StringBuilder();
        head(text, "operations_total", "counter", "Requests that have ended, by class and end.");
        ended.forEach((type, row) -> row.forEach((end, count) -> text.append(PREFIX)
                .append("operations_total{priority=\"")
                .append(escaped(type))
                .append("\",status=\"")
                .append(end.name().toLowerCase(Locale.ROOT))
                .append("\"} ")
                .append(count)
                .append('\n')));
        one(text, "relayed_total", "counter", "Attempts written whole to query engines.", relayed);
        one(text, "open_requests", "gauge", "Requests taken and not yet ended.", sum(doors, Coordinator::openRequests));
        one(text, "registry_entries", "gauge", "Query engines on the list.", sum(doors, Coordinator::listedEngines));
        one(
                text,
                "out_of_rotation",
                "gauge",
                "Query engines on the list that get nothing now.",
                sum(doors, Coordinator::excludedEngines));
        if (listAge != null) {
            one(
                    text,
                    "list_age_ms",
                    "gauge",
                    "Milliseconds since the journal's last usable answer.",
                    listAge.getAsLong());
        }
        if (unread != null) {
            one(
                    text,
                    "unread_answer_bytes",
                    "gauge",
                    "Bytes of answers that clients have not taken yet.",
                    unread.getAsLong());
        }
        if (spool != null) {
            spool(text, spool.get());
        }
        return text.toString();
    }

    private static void spool(StringBuilder text, SpoolPolicy.Figures now) {
        one(text, "spool_held_bytes", "gauge", "Bytes of results held in memory.", now.heldBytes());
        one(text, "spool_filed_bytes", "gauge", "Bytes of results on files.", now.filedBytes());
        one(text, "spool_results", "gauge", "Results held.", now.results());
        one(text, "spool_readers", "gauge", "Clients and cursors that read results.", now.readers());
        one(text, "spool_returned_total", "counter", "Results given back.", now.returned());
        one(text, "spool_lapsed_total", "counter", "Results given back because nobody read.", now.lapsed());
        one(text, "spool_refused_total", "counter", "Statements refused because the spool was full.", now.refused());
        one(text, "spool_slowed_total", "counter", "Results whose engine had to wait for the reader.", now.slowed());
    }

    private static int sum(Collection<ProtocolServer> doors, ToIntFunction<Coordinator<?>> figure) {
        return doors.stream().map(ProtocolServer::coordinator).mapToInt(figure).sum();
    }

    private static void one(StringBuilder text, String name, String type, String help, long value) {
        head(text, name, type, help);
        text.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }

    private static void head(StringBuilder text, String name, String type, String help) {
        text.append("# HELP ")
                .append(PREFIX)
                .append(name)
                .append(' ')
                .append(help)
                .append('\n')
                .append("# TYPE ")
                .append(PREFIX)
                .append(name)
                .append(' ')
                .append(type)
                .append('\n');
    }

    private static String escaped(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
