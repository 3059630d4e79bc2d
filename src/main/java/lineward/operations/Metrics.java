package lineward.operations;

import java.util.Collection;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import lineward.core.Coordinator;
import lineward.frontend.ProtocolServer;
import lineward.spool.SpoolPolicy;

/** What this process has done since its start, and what it holds now. Used on the event loop alone. */
public final class Metrics {
    /** How a request ended, as operators count it. */
    public enum RequestStatus {
        /** Its client got the engine's response. */
        SERVED("fulfilled"),
        /** It was rejected. */
        REJECTED("throttled"),
        /** It failed. */
        FAILED("faulted");

        private final String label;

        RequestStatus(String label) {
            this.label = label;
        }

        /** Returns the value of the label {@code status}, which dashboards read. */
        public String label() {
            return label;
        }
    }

    private static final String REQUESTS = "operations_total";
    private static final String CLASS_LABEL = "priority";
    private static final String ENDING_LABEL = "status";

    /** A row for each class announced, which are those of the configuration. */
    private final Map<String, Map<RequestStatus, Long>> endedRequests = new TreeMap<>();

    private long forwardedAttempts;
    /** Null, like the next two, where there is nothing to measure. */
    private LongSupplier listAgeMs;

    private LongSupplier unreadBytes;
    private Supplier<SpoolPolicy.Statistics> setSpool;

    /** Adds classes whose counters are shown from the start, at 0. */
    public void registerClasses(Collection<String> classes) {
        for (String className : classes) {
            endedRequests.computeIfAbsent(className, name -> emptyRow());
        }
    }

    private static Map<RequestStatus, Long> emptyRow() {
        Map<RequestStatus, Long> row = new EnumMap<>(RequestStatus.class);
        for (RequestStatus ending : RequestStatus.values()) {
            row.put(ending, 0L);
        }
        return row;
    }

    /** Counts a request of that class that has ended; a class never announced is ignored. */
    public void countEnded(String className, RequestStatus ending) {
        Map<RequestStatus, Long> row = endedRequests.get(className);
        if (row != null) {
            row.merge(ending, 1L, Long::sum);
        }
    }

    /** Counts an attempt that has been written completely to an engine. */
    public void countForwarded() {
        forwardedAttempts++;
    }

    /**
     * Sets the source of the endpoint list's age.
     *
     * @param ageMs milliseconds since discovery's last usable response
     */
    public void setListAge(LongSupplier ageMs) {
        listAgeMs = ageMs;
    }

    /**
     * Sets the source of the bytes that wait for clients.
     *
     * @param bytes of responses that clients have not read yet
     */
    public void setUnreadBytes(LongSupplier bytes) {
        unreadBytes = bytes;
    }

    /**
     * Sets the source of the spool's figures.
     *
     * @param figures what the spool holds now
     */
    public void setSpool(Supplier<SpoolPolicy.Statistics> figures) {
        setSpool = figures;
    }

    /** Returns all figures in the text format of Prometheus; gauges are read from these servers. */
    public String text(Collection<ProtocolServer> servers) {
        PrometheusText text = new PrometheusText();
        writeRequests(text, servers);
        writeEngines(text, servers);
        if (unreadBytes != null) {
            String help = "Bytes of answers that clients have not taken yet.";
            text.gauge("unread_answer_bytes", help, unreadBytes.getAsLong());
        }
        if (setSpool != null) {
            writeSpool(text, setSpool.get());
        }
        return text.toString();
    }

    private void writeRequests(PrometheusText text, Collection<ProtocolServer> servers) {
        text.labelledCounter(REQUESTS, "Requests that have ended, by class and end.");
        endedRequests.forEach((className, row) -> row.forEach((ending, count) -> {
            Map<String, String> labels = new LinkedHashMap<>();
            labels.put(CLASS_LABEL, className);
            labels.put(ENDING_LABEL, ending.label());
            text.sample(REQUESTS, labels, count);
        }));
        text.counter("relayed_total", "Attempts written whole to query engines.", forwardedAttempts);
        long openRequests = sum(servers, Coordinator::openRequests);
        text.gauge("open_requests", "Requests taken and not yet ended.", openRequests);
    }

    private void writeEngines(PrometheusText text, Collection<ProtocolServer> servers) {
        long listed = sum(servers, Coordinator::listedEngines);
        text.gauge("registry_entries", "Query engines on the list.", listed);
        long excluded = sum(servers, Coordinator::excludedEngines);
        text.gauge("out_of_rotation", "Query engines on the list that get nothing now.", excluded);
        if (listAgeMs != null) {
            String help = "Milliseconds since the journal's last usable answer.";
            text.gauge("list_age_ms", help, listAgeMs.getAsLong());
        }
    }

    private static void writeSpool(PrometheusText text, SpoolPolicy.Statistics now) {
        text.gauge("spool_held_bytes", "Bytes of results held in memory.", now.memoryBytes());
        text.gauge("spool_filed_bytes", "Bytes of results on files.", now.fileBytes());
        text.gauge("spool_results", "Results held.", now.results());
        text.gauge("spool_readers", "Clients and cursors that read results.", now.readers());
        text.counter("spool_returned_total", "Results given back.", now.released());
        text.counter("spool_lapsed_total", "Results given back because nobody read.", now.expired());
        text.counter("spool_refused_total", "Statements refused because the spool was full.", now.rejected());
        String slowed = "Results whose engine had to wait for the reader.";
        text.counter("spool_slowed_total", slowed, now.backpressured());
    }

    private static int sum(Collection<ProtocolServer> servers, ToIntFunction<Coordinator<?>> figure) {
        return servers.stream()
                .map(ProtocolServer::coordinator)
                .mapToInt(figure)
                .sum();
    }
}
