/**
 * The line protocol to query engines. {@link lineward.engine.EngineCluster} owns one {@code EnginePool} for
 * each listed engine; a pool owns the {@code EngineConnection}s to one address; a connection owns the {@link
 * lineward.engine.QueryAttempt}s in flight on it, and an attempt owns its statement and result pages until
 * it ends. {@code LineProtocol} holds every word of the protocol, {@code RequestWriter} encodes what goes
 * out, {@code ReplyDecoder} what comes back. {@code AttemptEnd} is the one table of what an end proves, and
 * {@code FaultAttribution} decides whether a failed connection is its engine's fault.
 *
 * <p>It may use {@code core}, {@code frontend} and {@code scheduling}. Everything runs on the event loop
 * that is passed to the cluster; nothing is thread-safe. Bounds: connections in all and for one engine,
 * attempts for one connection, ids of ended attempts, bytes and pages of a result, lengths of a line and a
 * body. The design note is in {@code docs/architecture.md}.
 */
package lineward.engine;
