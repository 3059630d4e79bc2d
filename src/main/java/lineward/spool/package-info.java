/**
 * Spooled results: what an engine has answered is stored here until its client has read it, so that the
 * engine is free once its answer is complete.
 *
 * <p>{@link lineward.spool.SpoolPolicy} decides, without I/O: what is stored in memory and what on files,
 * when an engine has to wait, who is admitted, when leases expire and what is given up first. {@link
 * lineward.spool.Spool} carries out on the event loop; files are read and written by the bounded threads of
 * {@code lineward.spool.store}. Uses {@code core} only and knows no protocol: a result is blocks of bytes
 * with a count of rows.
 *
 * <p>Threads: the event loop alone. Bounds: {@link lineward.spool.SpoolLimits}; what is in use is in {@link
 * lineward.spool.SpoolPolicy.Figures}. The design note is {@code docs/spool-design.md}.
 */
package lineward.spool;
