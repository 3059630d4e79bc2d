package lineward.operations;

import java.util.Map;

/** Builds metrics in the Prometheus text format, version 0.0.4. */
final class PrometheusText {
    /** The metric types of the format. */
    private enum Kind {
        COUNTER("counter"),
        GAUGE("gauge");

        private final String typeName;

        Kind(String typeName) {
            this.typeName = typeName;
        }
    }

    private static final String PREFIX = "edge_relay_";
    private final StringBuilder text = new StringBuilder();

    /** Writes a counter without labels. */
    void counter(String name, String help, long value) {
        header(name, Kind.COUNTER, help);
        sample(name, value);
    }

    /** Writes the header of a counter with labels; the caller must then write the samples. */
    void counterHeader(String name, String help) {
        header(name, Kind.COUNTER, help);
    }

    /** Writes a gauge. */
    void gauge(String name, String help, long value) {
        header(name, Kind.GAUGE, help);
        sample(name, value);
    }

    /** Writes a sample, with the labels in the order of the map. */
    void sample(String name, Map<String, String> labels, long value) {
        text.append(PREFIX).append(name).append('{');
        String separator = "";
        for (Map.Entry<String, String> label : labels.entrySet()) {
            text.append(separator).append(label.getKey()).append("=\"").append(escape(label.getValue()));
            text.append('"');
            separator = ",";
        }
        text.append("} ").append(value).append('\n');
    }

    private void sample(String name, long value) {
        text.append(PREFIX).append(name).append(' ').append(value).append('\n');
    }

    private void header(String name, Kind kind, String help) {
        text.append("# HELP ")
                .append(PREFIX)
                .append(name)
                .append(' ')
                .append(help)
                .append('\n');
        text.append("# TYPE ")
                .append(PREFIX)
                .append(name)
                .append(' ')
                .append(kind.typeName)
                .append('\n');
    }

    private static String escape(String label) {
        return label.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }

    /** Returns the text written so far. */
    @Override
    public String toString() {
        return text.toString();
    }
}
