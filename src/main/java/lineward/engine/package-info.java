/**
 * Client of the line protocol of query engines.
 *
 * <p>{@link lineward.engine.EngineCluster} owns one {@code EnginePool} for each listed engine; a pool owns
 * the {@code EngineConnection}s to one address; a connection owns the {@link lineward.engine.QueryAttempt}s
 * in flight on it; an attempt owns its statement and result pages until it ends. {@code LineProtocol} defines
 * the tokens of the protocol, {@code RequestWriter} encodes requests and {@code ReplyDecoder} decodes
 * replies. {@code AttemptEnd} maps each end of an attempt to its outcome, and {@code FaultAttribution}
 * decides whether a connection failure is attributed to the engine.
 *
 * <p>The package may use {@code core}, {@code frontend} and {@code scheduling}. Everything runs on the event
 * loop that is passed to the cluster; objects with state are not thread-safe.
 *
 * <p>Bounds: connections in total and to one engine, attempts on one connection, ids of ended attempts, bytes
 * and pages of a result, lengths of a header and a body. The design is described in {@code
 * docs/architecture.md}.
 */
package lineward.engine;
