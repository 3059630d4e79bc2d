/**
 * The export of spans and metrics over OTLP.
 *
 * <p>Owns the OpenTelemetry SDK, which is configured by the standard environment variables, and the spans of
 * requests and attempts in progress. Uses {@code lineward.core} for the tracer interface and
 * {@code lineward.scheduling} for the outcomes of attempts; other packages use {@code Telemetry} only.
 *
 * <p>The tracer runs on the event loop; the SDK exports on its own threads. Bounds: the SDK's queue, which
 * drops further spans when it is full; one open span for each request and attempt in progress; and the time
 * that the final export may take at shutdown. Design: docs/architecture.md.
 */
package lineward.telemetry;
