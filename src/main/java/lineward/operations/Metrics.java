package lineward.operations;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import lineward.core.Coordinator;
import lineward.frontend.ProtocolServer;
import lineward.spool.SpoolPolicy;

/** The counters and gauges of this process. Set up on the main thread, then used on the event loop only. */
public final class Metrics {
    /** The final status of a request in the counters. */
    public enum RequestStatus {
        /** An engine's result was sent to the client. */
        SERVED("fulfilled"),
        /** The request was rejected. */
        REJECTED("throttled"),
        /** The request failed. */
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
    private static final String STATUS_LABEL = "status";

    /** Numbers of ended requests by class and status; bounded by the classes of the configuration. */
    private final Map<String, Map<RequestStatus, Long>> endedRequests = new TreeMap<>();

    private long forwardedAttempts;
    private long idLimitRejections;
    /** Null if no protocol server sets it. */
    private LongSupplier requestIds;
    /** Null if the process has no service discovery. */
    private LongSupplier endpointListAgeMs;

    /** Null if no protocol server sets it. */
    private LongSupplier unreadBytes;
    /** The sources of the bytes in receive buffers, one for each protocol server. */
    private final List<LongSupplier> receiveBufferBytes = new ArrayList<>();
    /** Null if the process has no spool. */
    private Supplier<SpoolPolicy.Statistics> spool;

    /** Registers classes, whose counters start at 0 and are exported from now on. */
    public void registerClasses(Collection<String> classes) {
        for (String className : classes) {
            endedRequests.computeIfAbsent(className, name -> zeroCounts());
        }
    }

    private static Map<RequestStatus, Long> zeroCounts() {
        Map<RequestStatus, Long> counts = new EnumMap<>(RequestStatus.class);
        for (RequestStatus status : RequestStatus.values()) {
            counts.put(status, 0L);
        }
        return counts;
    }

    /** Counts a request that has ended, unless its class is not registered. */
    public void countEndedRequest(String className, RequestStatus status) {
        Map<RequestStatus, Long> counts = endedRequests.get(className);
        if (counts != null) {
            counts.merge(status, 1L, Long::sum);
        }
    }

    /** Counts an attempt whose request has been written completely to an engine. */
    public void countForwardedAttempt() {
        forwardedAttempts++;
    }

    /** Counts a request that was rejected because its client has used too many ids recently. */
    public void countIdLimitRejection() {
        idLimitRejections++;
    }

    /**
     * Sets the source of the number of ids of open and recently ended requests.
     *
     * @param count returns the current number
     */
    public void setRequestIds(LongSupplier count) {
        requestIds = count;
    }

    /**
     * Sets the source of the age of the endpoint list.
     *
     * @param ageMs returns the milliseconds since the last usable response of service discovery
     */
    public void setEndpointListAge(LongSupplier ageMs) {
        endpointListAgeMs = ageMs;
    }

    /**
     * Sets the source of the number of response bytes that are buffered because clients have not read them.
     *
     * @param bytes returns the current number
     */
    public void setUnreadBytes(LongSupplier bytes) {
        unreadBytes = bytes;
    }

    /**
     * Adds a source of the number of bytes that are buffered for requests that are not complete.
     *
     * @param bytes returns the current number of one protocol server
     */
    public void addReceiveBufferBytes(LongSupplier bytes) {
        receiveBufferBytes.add(bytes);
    }

    /**
     * Sets the source of the spool's gauges and counters.
     *
     * @param statistics returns the current values
     */
    public void setSpool(Supplier<SpoolPolicy.Statistics> statistics) {
        spool = statistics;
    }

    /** Returns all metrics in the Prometheus text format, including the gauges of these servers. */
    public String prometheusText(Collection<ProtocolServer> servers) {
        PrometheusText text = new PrometheusText();
        writeRequests(text, servers);
        writeEngines(text, servers);
        if (unreadBytes != null) {
            String help = "Bytes of answers that clients have not taken yet.";
            text.gauge("unread_answer_bytes", help, unreadBytes.getAsLong());
        }
        if (requestIds != null) {
            text.gauge("request_ids", "Ids of open and recently ended requests.", requestIds.getAsLong());
            String rejectedHelp = "Requests rejected because of too many ids of recent requests.";
            text.counter("id_limit_rejections_total", rejectedHelp, idLimitRejections);
        }
        long bufferedBytes =
                receiveBufferBytes.stream().mapToLong(LongSupplier::getAsLong).sum();
        String receiveHelp = "Bytes buffered for requests that are not complete.";
        text.gauge("receive_buffer_bytes", receiveHelp, bufferedBytes);
        if (spool != null) {
            writeSpool(text, spool.get());
        }
        return text.toString();
    }

    private void writeRequests(PrometheusText text, Collection<ProtocolServer> servers) {
        text.counterHeader(REQUESTS, "Requests that have ended, by class and end.");
        endedRequests.forEach((className, counts) -> counts.forEach((status, count) -> {
            Map<String, String> labels = new LinkedHashMap<>();
            labels.put(CLASS_LABEL, className);
            labels.put(STATUS_LABEL, status.label());
            text.sample(REQUESTS, labels, count);
        }));
        text.counter("relayed_total", "Attempts written whole to query engines.", forwardedAttempts);
        long openRequests = sum(servers, Coordinator::openRequestCount);
        text.gauge("open_requests", "Requests taken and not yet ended.", openRequests);
    }

    private void writeEngines(PrometheusText text, Collection<ProtocolServer> servers) {
        long listed = sum(servers, Coordinator::listedEngineCount);
        text.gauge("registry_entries", "Query engines on the list.", listed);
        long excluded = sum(servers, Coordinator::excludedEngineCount);
        text.gauge("out_of_rotation", "Query engines on the list that get nothing now.", excluded);
        if (endpointListAgeMs != null) {
            String help = "Milliseconds since the journal's last usable answer.";
            text.gauge("list_age_ms", help, endpointListAgeMs.getAsLong());
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
        text.counter("spool_slowed_total", slowed, now.backpressureCount());
    }

    private static int sum(Collection<ProtocolServer> servers, ToIntFunction<Coordinator<?>> gauge) {
        return servers.stream().map(ProtocolServer::coordinator).mapToInt(gauge).sum();
    }
}
