/**
 * Spooled results: the reply of an engine is stored here until its client has read it, so that the engine is
 * free once its reply is complete.
 *
 * <p>{@link lineward.spool.SpoolPolicy} decides without I/O: which statements are admitted, which blocks are
 * stored in memory and which on disk, when an engine has to wait, when a lease expires and which result is
 * released first. {@link lineward.spool.Spool} carries the decisions out; the threads of {@code
 * lineward.spool.store} read and write the files. The package may use {@code core} only and is independent of
 * protocols: a result is a sequence of byte blocks, each with its number of rows.
 *
 * <p>Threads: the event loop only. Bounds: {@link lineward.spool.SpoolLimits}; the current use is in {@link
 * lineward.spool.SpoolPolicy.Statistics}. The design is in {@code docs/spool-design.md}.
 */
package lineward.spool;
